"""Developer tools: the test runner and the demo."""
