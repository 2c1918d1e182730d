"""What operators and backend servers write to the store, followed by each process."""

from fireflydeck.observation.operators import OperatorDocuments
from fireflydeck.observation.registrations import Registrations
from fireflydeck.observation.table_follower import TableFollower

__all__ = [
    "OperatorDocuments",
    "Registrations",
    "TableFollower",
]
