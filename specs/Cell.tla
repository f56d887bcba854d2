-------------------------------- MODULE Cell --------------------------------
(* Who may run one task of a submitted job on the users' platform: two        *)
(* workers, each with its agent, and two leaders that share one record in     *)
(* the store. Time passes in ticks; every timer counts down. Orders may be    *)
(* carried out late, more than once or never; appends may land late.          *)
EXTENDS Integers, FiniteSets

CONSTANTS
    MaxRun,           \* bound
    Lease, Authority, \* lengths, in ticks
    WritesFirst,      \* a run is recorded before its order leaves
    Fences,           \* the store refuses appends of an older epoch
    RecordsEnds,      \* an end is recorded before the worker is told to forget it
    WaitsAuthority,   \* a new leader waits out what the old one may still grant
    OrdersEnd         \* an order is not carried out after the lease that it names

Workers == {1, 2}
Leaders == {1, 2}
None == 0

VARIABLES
    epoch, record,          \* the store: the newest epoch, the record of the task
    on, memory, busy,       \* leaders: whether it leads, what it believes, append under way
    authority, wait,        \* leaders: time left to grant leases; to wait for each worker
    orders,                 \* starts on their way
    fence, running, top,    \* workers: highest epoch seen, run, highest run ended
    finished, lease,        \* workers: ends done that are listed, time left to run
    stale,                  \* workers: the same, but the lease has lapsed since
    noted, late             \* whether a done end was forgotten; whether a run began after that

vars == <<epoch, record, on, memory, busy, authority, wait, orders,
          fence, running, top, finished, lease, stale, noted, late>>
leaderVars == <<on, memory, busy, authority, wait>>
workerVars == <<fence, running, top, finished, lease, stale>>

Max(a, b) == IF a > b THEN a ELSE b
Less(n) == Max(n - 1, 0)

Init ==
    /\ epoch = 1 /\ record = [run |-> 0, at |-> None, done |-> FALSE]
    /\ on = [l \in Leaders |-> l = 1]
    /\ memory = [l \in Leaders |-> record]
    /\ busy = [l \in Leaders |-> FALSE]
    /\ authority = [l \in Leaders |-> IF l = 1 THEN Authority ELSE 0]
    /\ wait = [l \in Leaders |-> [w \in Workers |-> 0]]
    /\ orders = {}
    /\ fence = [w \in Workers |-> 0] /\ running = [w \in Workers |-> None]
    /\ top = [w \in Workers |-> 0] /\ finished = [w \in Workers |-> {}]
    /\ lease = [w \in Workers |-> 0] /\ stale = [w \in Workers |-> {}]
    /\ noted = FALSE /\ late = FALSE

(* A worker whose lease ends kills what it runs; ends before that do not count as taken note of. *)
Tick ==
    /\ authority' = [l \in Leaders |-> Less(authority[l])]
    /\ wait' = [l \in Leaders |-> [w \in Workers |-> Less(wait[l][w])]]
    /\ orders' = {[o EXCEPT !.left = Less(@)] : o \in orders}
    /\ lease' = [w \in Workers |-> Less(lease[w])]
    /\ running' = [w \in Workers |-> IF lease[w] <= 1 THEN None ELSE running[w]]
    /\ top' = [w \in Workers |-> IF lease[w] <= 1 THEN Max(top[w], running[w]) ELSE top[w]]
    /\ finished' = [w \in Workers |-> IF lease[w] <= 1 THEN {} ELSE finished[w]]
    /\ stale' = [w \in Workers |->
            IF lease[w] <= 1 THEN stale[w] \cup finished[w] ELSE stale[w]]
    /\ UNCHANGED <<epoch, record, on, memory, busy, fence, noted, late>>

(* The store refuses older epochs from here on, also those on their way. *)
Claim ==
    /\ epoch = 1
    /\ epoch' = 2
    /\ on' = [on EXCEPT ![2] = TRUE]
    /\ memory' = [memory EXCEPT ![2] = record]
    /\ authority' = [authority EXCEPT ![2] = Authority]
    /\ wait' = [wait EXCEPT ![2] =
            [w \in Workers |-> (IF WaitsAuthority THEN Authority ELSE 0) + Lease]]
    /\ UNCHANGED <<record, busy, orders, workerVars, noted, late>>

Change(l, value) ==
    /\ memory' = [memory EXCEPT ![l] = value]
    /\ busy' = [busy EXCEPT ![l] = TRUE]

Assign(l, w) ==
    /\ on[l] /\ ~busy[l] /\ memory[l].at = None /\ ~memory[l].done
    /\ memory[l].run < MaxRun
    /\ Change(l, [run |-> memory[l].run + 1, at |-> w, done |-> FALSE])
    /\ UNCHANGED <<epoch, record, on, authority, wait, orders, workerVars, noted, late>>

(* An append lands, or is refused, which ends the leader. *)
Land(l) ==
    /\ busy[l]
    /\ busy' = [busy EXCEPT ![l] = FALSE]
    /\ IF l = epoch \/ ~Fences
       THEN /\ record' = memory[l]
            /\ authority' = [authority EXCEPT ![l] = Authority]
            /\ noted' = (noted \/ (memory[l].done /\ \E w \in Workers : finished[w] # {}))
            /\ finished' = IF memory[l].done THEN [w \in Workers |-> {}] ELSE finished
            /\ UNCHANGED on
       ELSE /\ on' = [on EXCEPT ![l] = FALSE]
            /\ UNCHANGED <<record, authority, noted, finished>>
    /\ UNCHANGED <<epoch, memory, wait, orders, fence, running, top, lease, stale, late>>

(* An order names the lease that the agent has at that time. *)
Send(l, w) ==
    /\ on[l] /\ memory[l].at = w /\ wait[l][w] > 0
    /\ ~busy[l] \/ ~WritesFirst
    /\ orders' = orders \cup
            {[to |-> w, run |-> memory[l].run, from |-> l, left |-> Lease]}
    /\ wait' = [wait EXCEPT ![l][w] = Max(@, Lease)]
    /\ authority[l] > 0
    /\ UNCHANGED <<epoch, record, on, memory, busy, authority, workerVars, noted, late>>

Grant(l, w) ==
    /\ on[l] /\ authority[l] > 0 /\ l >= fence[w]
    /\ fence' = [fence EXCEPT ![w] = l]
    /\ lease' = [lease EXCEPT ![w] = Lease]
    /\ wait' = [wait EXCEPT ![l][w] = Max(@, Lease)]
    /\ UNCHANGED <<epoch, record, on, memory, busy, authority, orders, running, top, finished,
                   stale, noted, late>>

Start(o) ==
    LET w == o.to IN
    /\ o.from >= fence[w] /\ o.run > top[w] /\ running[w] = None
    /\ o.left > 0 \/ ~OrdersEnd
    /\ lease[w] > 0 \/ o.left > 0
    /\ running' = [running EXCEPT ![w] = o.run]
    /\ fence' = [fence EXCEPT ![w] = o.from]
    /\ lease' = [lease EXCEPT ![w] = Max(@, o.left)]
    /\ late' = (late \/ noted)
    /\ UNCHANGED <<epoch, record, leaderVars, orders, top, finished, stale, noted>>

End(w, done) ==
    /\ running[w] # None
    /\ running' = [running EXCEPT ![w] = None]
    /\ top' = [top EXCEPT ![w] = running[w]]
    /\ finished' = IF done THEN [finished EXCEPT ![w] = @ \cup {running[w]}] ELSE finished
    /\ UNCHANGED <<epoch, record, leaderVars, orders, fence, lease, stale, noted, late>>

(* A worker lists a done end; it is forgotten once it is recorded, see Land. *)
HearDone(l, w) ==
    /\ on[l] /\ ~busy[l] /\ finished[w] \cup stale[w] # {} /\ ~memory[l].done
    /\ Change(l, [memory[l] EXCEPT !.done = TRUE, !.at = None])
    /\ IF RecordsEnds
       THEN UNCHANGED <<finished, noted>>
       ELSE finished' = [finished EXCEPT ![w] = {}] /\ noted' = (noted \/ finished[w] # {})
    /\ UNCHANGED <<epoch, record, on, authority, wait, orders, fence, running, top, lease, stale,
                   late>>

(* A worker lists another end of the run. *)
HearOver(l, w) ==
    /\ on[l] /\ ~busy[l] /\ memory[l].at = w
    /\ memory[l].run <= top[w] /\ memory[l].run \notin finished[w] \cup stale[w]
    /\ Change(l, [memory[l] EXCEPT !.at = None])
    /\ UNCHANGED <<epoch, record, on, authority, wait, orders, workerVars, noted, late>>

(* Nothing was heard for as long as the run could go on. *)
Expire(l, w) ==
    /\ on[l] /\ ~busy[l] /\ memory[l].at = w /\ wait[l][w] = 0
    /\ Change(l, [memory[l] EXCEPT !.at = None])
    /\ UNCHANGED <<epoch, record, on, authority, wait, orders, workerVars, noted, late>>

Next ==
    \/ Tick \/ Claim
    \/ \E l \in Leaders : Land(l)
    \/ \E l \in Leaders, w \in Workers :
        \/ Assign(l, w) \/ Send(l, w) \/ Grant(l, w)
        \/ HearDone(l, w) \/ HearOver(l, w) \/ Expire(l, w)
    \/ \E o \in orders : Start(o)
    \/ \E w \in Workers : End(w, TRUE) \/ End(w, FALSE)

Spec == Init /\ [][Next]_vars

(* The task never runs in two places at once. *)
OnePlace == ~(running[1] # None /\ running[2] # None)
(* Nothing begins once a done end has been taken note of under the lease that it ended under. *)
NoneAfterDone == ~late
=============================================================================
