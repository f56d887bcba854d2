------------------------------- MODULE Leases -------------------------------
(* Who may run one task: two workers, each with its agent, and two leaders.  *)
(* Time passes in ticks and every timer counts down, so it has no end. A      *)
(* lease is live while its timer is above zero. Checks and acts of an agent   *)
(* are separate steps, so an agent may pause between them for any time.       *)
(* Answers of leaders may be late or lost; appends may be lost or land late.  *)
EXTENDS Integers, FiniteSets

CONSTANTS
    MaxAttempt,             \* bound
    Node, Worker, Authority,\* lengths of the leases, in ticks
    Claims, Restarts,       \* whether a second leader claims, and agents restart
    Pauses,                 \* whether agents may pause between check and act
    LateAppends,            \* whether appends may be lost and land late
    WorkerWaits,            \* how many worker leases a silent agent is waited for
    Sticky,                 \* a leader never takes back a proposed release
    LatestOnly,             \* an agent takes only the answer to its last heartbeat
    RestartReads,           \* a restarted agent reads the log before it takes anything
    UnheardWaits,           \* a new leader waits out the old one's authority
    NeedsAck,               \* and does so until the agent has acknowledged the new epoch
    EndsStick,              \* what is proposed upon a report is not handed out again either
    ChecksRun               \* a report of a run of the agent before the one heard is not believed

Agents == {1, 2}
None == 0
Silence == Node + WorkerWaits * Worker

VARIABLES
    epoch, attempt, holder, \* the fold of the log
    late,                   \* releases whose append was lost and may yet land
    old,                    \* what leader 1 had folded and proposed when leader 2 claimed
    authority,              \* what is left of leader 1's authority
    wait,                   \* how long the leader in force waits until it may release
    proposed,               \* the attempt whose release the leader in force has proposed
    msgs,                   \* answers on their way
    said,                   \* reports of ended attempts on their way, for any time
    ack, lease, want,       \* agents: epoch, node lease, assigned attempt
    step, aim, ended,       \* agents: step under way, its attempt, last attempt ended
    workerLease, running    \* workers

vars == <<epoch, attempt, holder, late, old, authority, wait, proposed, msgs, said,
          ack, lease, want, step, aim, ended, workerLease, running>>

logVars == <<epoch, attempt, holder, late, old>>
wireVars == <<msgs, said>>
agentVars == <<ack, lease, want, step, aim, ended>>
workerVars == <<workerLease, running>>

Max(a, b) == IF a > b THEN a ELSE b
Less(n) == Max(n - 1, 0)

Init ==
    /\ epoch = 1 /\ attempt = 1 /\ holder = 1 /\ late = {}
    /\ old = [attempt |-> 1, holder |-> 1, proposed |-> None]
    /\ authority = Authority
    /\ wait = [a \in Agents |-> 0] /\ proposed = None
    /\ msgs = {} /\ said = {}
    /\ ack = [a \in Agents |-> 1] /\ lease = [a \in Agents |-> 0]
    /\ want = [a \in Agents |-> None]
    /\ step = [a \in Agents |-> "idle"] /\ aim = [a \in Agents |-> None]
    /\ ended = [a \in Agents |-> None]
    /\ workerLease = [a \in Agents |-> 0] /\ running = [a \in Agents |-> None]

(* A worker whose lease ends stops what it runs. *)
Tick ==
    /\ authority' = IF Claims THEN Less(authority) ELSE authority
    /\ wait' = [a \in Agents |-> Less(wait[a])]
    /\ lease' = [a \in Agents |-> Less(lease[a])]
    /\ workerLease' = [a \in Agents |-> Less(workerLease[a])]
    /\ running' = [a \in Agents |-> IF workerLease[a] <= 1 THEN None ELSE running[a]]
    /\ msgs' = {[m EXCEPT !.left = Less(@)] : m \in msgs}
    /\ UNCHANGED <<logVars, proposed, said, ack, want, step, aim, ended>>

LeaderReads ==
    /\ Claims /\ epoch = 1
    /\ authority' = Authority
    /\ UNCHANGED <<logVars, wait, proposed, wireVars, agentVars, workerVars>>

Claim ==
    /\ Claims /\ epoch = 1
    /\ epoch' = 2
    /\ old' = [attempt |-> attempt, holder |-> holder, proposed |-> proposed]
    /\ proposed' = None
    /\ wait' = [a \in Agents |-> (IF UnheardWaits THEN Authority ELSE 0) + Silence]
    /\ UNCHANGED <<attempt, holder, late, authority, wireVars, agentVars, workerVars>>

(* A heartbeat to leader l and its answer, which may be late. *)
Heartbeat(a, l) ==
    LET present == l = epoch
        seen == IF present THEN [attempt |-> attempt, holder |-> holder, proposed |-> proposed]
                ELSE old
        mine == seen.holder = a /\ ~(Sticky /\ seen.proposed = seen.attempt)
        answer == [to |-> a, left |-> Node, from |-> l,
                   want |-> IF mine THEN seen.attempt ELSE None]
    IN  /\ l <= epoch /\ l >= ack[a]
        /\ l = 1 => authority > 0
        /\ msgs' = {m \in msgs : ~LatestOnly \/ m.to # a} \cup {answer}
        /\ said' = {r \in said : ~(ChecksRun /\ present /\ r.from = a /\ r.over)}
        /\ wait' = IF ~present THEN wait
                  ELSE IF ack[a] = epoch \/ ~NeedsAck THEN [wait EXCEPT ![a] = Silence]
                  ELSE [wait EXCEPT ![a] = Max(@, Silence)]
        /\ UNCHANGED <<logVars, authority, proposed, agentVars, workerVars>>

Receive(m) ==
    LET a == m.to IN
    /\ m.from >= ack[a]
    /\ ack' = [ack EXCEPT ![a] = m.from]
    /\ lease' = [lease EXCEPT ![a] = Max(@, m.left)]
    /\ want' = [want EXCEPT ![a] = m.want]
    /\ msgs' = msgs \ {m}
    /\ UNCHANGED <<logVars, said, authority, wait, proposed, step, aim, ended, workerVars>>

CheckRenew(a) ==
    /\ step[a] = "idle" /\ lease[a] > 0
    /\ want[a] # None \/ running[a] # None \* a lease that nothing runs under does not matter
    /\ IF Pauses
       THEN step' = [step EXCEPT ![a] = "renew"] /\ UNCHANGED workerLease
       ELSE workerLease' = [workerLease EXCEPT ![a] = Worker] /\ UNCHANGED step
    /\ UNCHANGED <<logVars, authority, wait, proposed, wireVars, ack, lease, want, aim, ended, running>>

Renew(a) ==
    /\ step[a] = "renew"
    /\ step' = [step EXCEPT ![a] = "idle"]
    /\ workerLease' = [workerLease EXCEPT ![a] = Worker]
    /\ UNCHANGED <<logVars, authority, wait, proposed, wireVars, ack, lease, want, aim, ended, running>>

CheckStart(a) ==
    /\ step[a] = "idle" /\ lease[a] > 0 /\ workerLease[a] > 0
    /\ want[a] # None /\ want[a] > ended[a] /\ running[a] = None
    /\ IF Pauses
       THEN /\ step' = [step EXCEPT ![a] = "start"] /\ aim' = [aim EXCEPT ![a] = want[a]]
            /\ UNCHANGED running
       ELSE /\ running' = [running EXCEPT ![a] = want[a]]
            /\ UNCHANGED <<step, aim>>
    /\ UNCHANGED <<logVars, authority, wait, proposed, wireVars, ack, lease, want, ended, workerLease>>

(* The worker refuses a start under a lapsed lease. *)
Start(a) ==
    /\ step[a] = "start"
    /\ step' = [step EXCEPT ![a] = "idle"] /\ aim' = [aim EXCEPT ![a] = None]
    /\ running' = [running EXCEPT ![a] = IF workerLease[a] > 0 THEN aim[a] ELSE @]
    /\ UNCHANGED <<logVars, authority, wait, proposed, wireVars, ack, lease, want, ended, workerLease>>

(* The agent stops an attempt, as when its node lease has ended, and remembers that. *)
Stop(a) ==
    /\ step[a] = "idle" /\ running[a] # None
    /\ lease[a] = 0 \/ want[a] # running[a]
    /\ running' = [running EXCEPT ![a] = None]
    /\ ended' = [ended EXCEPT ![a] = running[a]]
    /\ UNCHANGED <<logVars, authority, wait, proposed, wireVars, ack, lease, want, step, aim, workerLease>>

Restart(a) ==
    /\ Restarts
    /\ ack' = [ack EXCEPT ![a] = IF RestartReads THEN epoch ELSE 0]
    /\ lease' = [lease EXCEPT ![a] = 0] /\ want' = [want EXCEPT ![a] = None]
    /\ step' = [step EXCEPT ![a] = "idle"] /\ aim' = [aim EXCEPT ![a] = None]
    /\ ended' = [ended EXCEPT ![a] = None]
    /\ msgs' = {m \in msgs : ~LatestOnly \/ m.to # a}
    /\ said' = {[r EXCEPT !.over = @ \/ r.from = a] : r \in said}
    /\ UNCHANGED <<logVars, authority, wait, proposed, workerVars>>

(* The leader in force releases the attempt of an agent that was silent for long enough. *)
Release(lands) ==
    /\ holder # None
    /\ wait[holder] = 0 \/ (Sticky /\ proposed = attempt)
    /\ proposed' = attempt
    /\ IF lands THEN holder' = None /\ UNCHANGED late
       ELSE late' = late \cup {<<epoch, attempt>>} /\ UNCHANGED holder
    /\ UNCHANGED <<epoch, attempt, old, authority, wait, wireVars, agentVars, workerVars>>

LandLate(r) ==
    /\ late' = late \ {r}
    /\ holder' = IF r[1] = epoch /\ r[2] = attempt THEN None ELSE holder
    /\ UNCHANGED <<epoch, attempt, old, authority, wait, proposed, wireVars, agentVars, workerVars>>

(* An agent tells an attempt as stopped; the report may be on its way for any time. *)
Report(a) ==
    /\ ended[a] # None /\ step[a] = "idle" /\ lease[a] > 0
    /\ said' = said \cup {[from |-> a, attempt |-> ended[a], epoch |-> ack[a], over |-> FALSE]}
    /\ UNCHANGED <<logVars, authority, wait, proposed, msgs, agentVars, workerVars>>

(* The leader in force releases what is reported as stopped by its holder. *)
ReleaseByReport(r, lands) ==
    /\ holder = r.from /\ attempt = r.attempt /\ epoch = r.epoch
    /\ proposed' = IF EndsStick THEN attempt ELSE proposed
    /\ IF lands THEN holder' = None /\ UNCHANGED late
       ELSE late' = late \cup {<<epoch, attempt>>} /\ UNCHANGED holder
    /\ UNCHANGED <<epoch, attempt, old, authority, wait, wireVars, agentVars, workerVars>>

Assign(a) ==
    /\ holder = None /\ attempt < MaxAttempt
    /\ holder' = a /\ attempt' = attempt + 1
    /\ UNCHANGED <<epoch, late, old, authority, wait, proposed, wireVars, agentVars, workerVars>>

Next ==
    \/ Tick \/ LeaderReads \/ Claim
    \/ \E a \in Agents :
        \/ Heartbeat(a, 1) \/ Heartbeat(a, 2)
        \/ CheckRenew(a) \/ Renew(a) \/ CheckStart(a) \/ Start(a) \/ Stop(a) \/ Restart(a)
        \/ Report(a) \/ Assign(a)
    \/ \E m \in msgs : Receive(m)
    \/ Release(TRUE) \/ (LateAppends /\ Release(FALSE))
    \/ \E r \in late : LandLate(r)
    \/ \E r \in said :
        ReleaseByReport(r, TRUE) \/ (LateAppends /\ ReleaseByReport(r, FALSE))

Spec == Init /\ [][Next]_vars

Runs(a) == running[a] # None /\ workerLease[a] > 0

(* The promise: the task never runs in two places at once. *)
OnePlace == ~(Runs(1) /\ Runs(2))
=============================================================================
