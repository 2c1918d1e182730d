"""Copies of the operators' documents and of the backend servers' registrations in the store."""

from fireflydeck.observation.operator_documents import OperatorDocuments
from fireflydeck.observation.registrations import Registrations
from fireflydeck.observation.table_follower import TableFollower

__all__ = [
    "OperatorDocuments",
    "Registrations",
    "TableFollower",
]
