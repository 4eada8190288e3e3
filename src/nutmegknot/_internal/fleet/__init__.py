"""Fleet partitions: each starts requests on some of a domain's workers."""
