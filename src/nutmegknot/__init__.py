"""Cluster scheduler for services, batch queues and all-at-once jobs."""
