"""A distributed rate limiter that enforces customer quotas; see README.md and docs/ARCHITECTURE.md."""

from limiter.model.settings import Settings
from limiter.policy.engine import PolicyEngine

__all__ = ["PolicyEngine", "Settings"]
