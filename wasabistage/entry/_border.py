"""A layer between the HTTP server and the application."""

import trio


class WholeEnds:
    """Lets the last step of an answer finish.

    With the last part of an answer the server may close the connection: after
    ``Connection: close``, or when a request was refused before its body was read. It
    tells the application first that the caller is gone, and the application then
    cancels the very task that is about to close. Without this layer the connection
    stays open and deaf, and the caller's next request on it waits for ever.

    :param application: ASGI application.
    """

    def __init__(self, application):
        self.application = application

    async def __call__(self, scope, receive, send):
        """Serve one connection or request; see the ASGI specification."""

        async def send_whole(message):
            last = message["type"] == "http.response.body"
            with trio.CancelScope(shield=last and not message.get("more_body", False)):
                await send(message)

        await self.application(scope, receive, send_whole)
