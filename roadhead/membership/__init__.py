"""Who serves: the term record, the lease behind each member, links between controllers."""
