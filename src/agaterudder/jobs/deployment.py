"""Settings of the deployment of one entry VM."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """Time limits of the deployment, in seconds unless stated otherwise.

    :ivar holder_lease: length of the lease of a pool's holder.
    :ivar worker_lease: longest lease of the runs on a worker.
    :ivar key_withdrawal: time within which a withdrawn key stops working.
    :ivar stop: longest time that a worker takes to stop a run.
    :ivar cancel: time after which no task of a cancelled job starts.
    :ivar drain: time after which no task starts on a draining worker.
    :ivar take_out: time after which no task starts in a data centre that
        was taken out.
    :ivar gang_wait: how long a task of a gang waits for the others.
    :ivar unavailability_grace: a task that is unavailable for longer counts
        as missing.
    :ivar throttle_delay: time until a throttle order takes effect.
    :ivar max_degradation: longest time that the response times of a
        latency-sensitive task may be degraded.
    :ivar far_factor: slowdown factor of a task outside the rack of its
        data.
    :ivar checkpoint_interval: time of work between checkpoints.
    :ivar restore: time to resume from a checkpoint.
    :ivar move: time to move a machine to another pool.
    :ivar maintenance: duration of the maintenance of a machine.
    :ivar grace: time between SIGTERM and SIGKILL.
    :ivar status: how long an ended job can be looked up.
    :ivar pending_age: longest delay until a job appears in the pending
        count of its queue.
    :ivar row_bytes: largest value of a row of the store, in bytes.
    """

    holder_lease: float = 3.0
    worker_lease: float = 6.0
    key_withdrawal: float = 5.0
    stop: float = 0.4
    cancel: float = 3.0
    drain: float = 2.0
    take_out: float = 5.0
    gang_wait: float = 3.0
    unavailability_grace: float = 4.5
    throttle_delay: float = 0.1
    max_degradation: float = 4.0
    far_factor: float = 2.0
    checkpoint_interval: float = 2.0
    restore: float = 0.6
    move: float = 1.5
    maintenance: float = 2.0
    grace: float = 6.0
    status: float = 120.0
    pending_age: float = 3.0
    row_bytes: int = 65_536


@dataclasses.dataclass(frozen=True, slots=True)
class Deployment:
    """Settings of one process; addresses are IP and port.

    :ivar vm: name of the entry VM.
    :ivar data_centres: names of all data centres.
    :ivar policy: address of the placement policy, empty without one.
    :ivar heartbeat: seconds between registrations of a worker.
    :ivar cores: processor capacity of this VM.
    """

    vm: str
    data_centre: str
    data_centres: tuple[str, ...]
    frontend: str
    readiness: str
    metrics: str
    store: str
    machines: str
    policy: str = ""
    heartbeat: float = 1.5
    cores: float = 1.0
    bounds: Bounds = Bounds()
