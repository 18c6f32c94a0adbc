"""The kinds of records, one module each; importing the package registers them all."""

from ebonyhatch.core.record_kinds import priority, service, tenant, work_class

__all__ = ["priority", "service", "tenant", "work_class"]
