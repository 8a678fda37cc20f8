"""Answers which entries a caller should use."""


class AddressAnswerer:
    """Answers ``GET /v1/entries``.

    :param context: the :class:`wasabistage.entry._context.EntryContext`.
    """

    def __init__(self, context):
        self.context = context

    async def answer(self, account, args):
        """Build the answer.

        :param account: the client account.
        :param args: query arguments of the request.
        :return: a dict with ``entries`` and ``lifetime`` in seconds.
        """
        settings = self.context.settings
        return {
            "entries": [{"address": settings.listen}],
            "lifetime": settings.address_lifetime,
        }
