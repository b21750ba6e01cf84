"""Jobs that depend on others: what each waits for, what cancels it, and the priority it inherits."""
