"""Kinds of records, one module for each; importing the package registers all of them."""

from ebonyhatch.core.record_kinds import priority, service, tenant, work_class

__all__ = ["priority", "service", "tenant", "work_class"]
