"""The event loop and byte streams."""
