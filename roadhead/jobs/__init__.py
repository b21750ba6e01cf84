"""Jobs: their durable records, who owns them, and what each of their tasks is doing."""
