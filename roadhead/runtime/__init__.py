"""The event loop, timers and byte streams that all processes run on."""
