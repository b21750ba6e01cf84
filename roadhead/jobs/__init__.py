"""Jobs: their durable records, their owners, and the state of each of their tasks."""
