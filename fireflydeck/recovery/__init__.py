"""Recovery after processes that ended without a graceful stop."""

from fireflydeck.recovery.allotment_reaper import AllotmentReaper, AllotmentReaperOptions
from fireflydeck.recovery.member_reaper import MemberReaper, MemberReaperOptions
from fireflydeck.recovery.running_tasks import (
    HttpRunningTasks,
    RunningTasks,
    TaskOwner,
    TaskSurvey,
)

__all__ = [
    "AllotmentReaper",
    "AllotmentReaperOptions",
    "HttpRunningTasks",
    "MemberReaper",
    "MemberReaperOptions",
    "RunningTasks",
    "TaskOwner",
    "TaskSurvey",
]
