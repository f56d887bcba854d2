---------------------------- MODULE AgentLeases -----------------------------
(* What one agent on the users' platform makes of the leader's leases and     *)
(* orders. The worker beside it is "here"; all others are "there", where a    *)
(* run is at work, at worst, from when it is numbered until the leader takes  *)
(* it for over. Reports, grants, orders and calls may cross, be late or lost. *)
(* Time passes in ticks; every timer counts down. Appends land at once, and   *)
(* there is one leader: see Cell for both. Processes of the agent follow one  *)
(* another; nothing but its reports tells the leader which is the later one.  *)
(* A report counts only if it names the generation that the leader told its   *)
(* process; any other gets just that in the answer, and no lease.             *)
EXTENDS Integers, Sequences, FiniteSets

CONSTANTS
    MaxRun, MaxGeneration, MaxLife, \* bounds; lives are processes of the agent
    MaxReports, MaxCalls,           \* bounds of what is under way at once
    Lease,               \* length, in ticks
    Generations,         \* the leader raises the generation when it gives runs up
    AdoptsFirst,         \* a higher generation voids orders before its lease is used
    WorkerFence,         \* the worker does nothing for a lower generation than it has seen
    VoidsAtLapse,        \* orders are void before a lapse is reported, until that is answered
    RestartRaises,       \* a new process of the agent gets a generation of its own
    RestartWaits,        \* it takes the worker's lease for over only a lease after it began
    NumbersReports,      \* a report that a later one has overtaken is passed over
    NamesGeneration      \* a report counts only if it names the generation told to its process

None == "none"
Here == "here"
There == "there"
Lives == 1..MaxLife

VARIABLES
    run, at,             \* the leader: the last run and where it is placed
    book, generation,    \* until when runs here may go on; of the lease of each life
    replaced,            \* lives that were heard before a report of another one counted
    heard, usable,       \* the life that looks after the worker, 0 for none; if it can get runs
    reports, grant,      \* on their way: reports in their order, the answer to the last (a set)
    orders, calls,       \* on their way: starts; calls of the worker, of run 0 if they only hold
    life, adopted, due,  \* the agent: its process, its generation, one it has yet to adopt
    asked,               \* what is left of the lease that its last report asks for
    lease, told, held,   \* what it may grant, the longest it told the worker, runs not begun
    reachable, noted,    \* whether the worker answers; whether orders were voided since it did
    untold,              \* whether the leader has yet to answer the report of a lapse
    hold, running,       \* the worker: time left to run, runs
    top, fence           \* highest run ended, highest generation seen

leaderVars == <<run, at, book, generation, replaced, heard, usable>>
agentVars == <<life, adopted, due, asked, lease, told, held, reachable, noted, untold>>
workerVars == <<hold, running, top, fence>>
vars == <<leaderVars, reports, grant, orders, calls, agentVars, workerVars>>

Max(a, b) == IF a > b THEN a ELSE b
Less(n) == Max(n - 1, 0)
Highest(s, least) == CHOOSE n \in s \cup {least} : \A m \in s \cup {least} : m <= n
Aged(s) == {[m EXCEPT !.left = Less(@)] : m \in s}

Init ==
    /\ run = 0 /\ at = None /\ book = 0 /\ generation = [l \in Lives |-> 0]
    /\ replaced = {} /\ heard = 0 /\ usable = FALSE
    /\ reports = <<>> /\ grant = {} /\ orders = {} /\ calls = {}
    /\ life = 1 /\ adopted = 0 /\ due = 0 /\ asked = 0 /\ lease = 0 /\ told = 0 /\ held = {}
    /\ reachable = TRUE /\ noted = FALSE /\ untold = FALSE
    /\ hold = 0 /\ running = {} /\ top = 0 /\ fence = 0

(* A worker whose lease ends kills what it runs. Renewals that come too late are left out. *)
Tick ==
    /\ book' = Less(book) /\ asked' = Less(asked) /\ lease' = Less(lease)
    /\ told' = Less(told) /\ hold' = Less(hold)
    /\ calls' = {c \in Aged(calls) : c.run # 0 \/ c.left > 0}
    /\ running' = IF hold <= 1 THEN {} ELSE running
    /\ top' = IF hold <= 1 THEN Highest(running, top) ELSE top
    /\ UNCHANGED <<run, at, generation, replaced, heard, usable, reports, grant, orders, life,
                   adopted, due, held, reachable, noted, untold, fence>>

-----------------------------------------------------------------------------
(* The leader. *)
Last == Highest({generation[l] : l \in Lives}, 0)
Raised == IF Generations THEN Last + 1 ELSE 1
First == IF RestartRaises \/ Last = 0 THEN Raised ELSE Last

Counts(r) ==
    NamesGeneration => (generation[r.life] # 0 /\ r.generation = generation[r.life])

(* A process of which a report counts replaces those of a lower generation; one of a higher one was *)
(* heard after it, though it has yet to count.                                                       *)
Replaces(l) == {other \in Lives \ {l} : generation[other] # 0 /\ generation[other] < generation[l]}

(* What is left once a report was handled; what would be passed over is left out at once. *)
Remaining(k, over) ==
    LET r == reports[k]
        numbered(other) == ~NumbersReports \/ other.life # r.life
        heeded(other) == other.life \notin over
        before == SelectSeq(SubSeq(reports, 1, k - 1), numbered)
    IN  SelectSeq(before \o SubSeq(reports, k + 1, Len(reports)), heeded)

(* Nothing more is placed here, so that the rest of the book does not matter. *)
Closed(number, place) == number = MaxRun /\ place # Here

(* A process that does not reach the worker says nothing of it while another one did just now; *)
(* how long ago that may be at most is left open.                                              *)
MayBeElsewhere(r) == ~r.reachable /\ usable /\ heard # r.life

(* An agent heeds only the answer to its last report. *)
Answer(r, now, counts) ==
    grant' = IF r.life = life /\ r.newest
             THEN {[generation |-> now, counts |-> counts, lapsed |-> counts /\ r.lapsed]}
             ELSE grant

PassOver(k) ==
    /\ reports[k].life \in replaced
    /\ reports' = Remaining(k, replaced)
    /\ UNCHANGED <<leaderVars, grant>>

(* The sender has yet to be told its generation; that is all that comes of its report. *)
OnlyTell(k) ==
    LET r == reports[k]
        known == IF generation[r.life] = 0 THEN First ELSE generation[r.life]
    IN
    /\ r.life \notin replaced /\ ~Counts(r)
    /\ known <= MaxGeneration
    /\ reports' = Remaining(k, replaced)
    /\ generation' = [generation EXCEPT ![r.life] = known]
    /\ Answer(r, known, FALSE)
    /\ UNCHANGED <<run, at, book, replaced, heard, usable>>

Heed(k) ==
    LET r == reports[k]
        known == IF generation[r.life] = 0 THEN First ELSE generation[r.life]
        over == replaced \cup Replaces(r.life)
    IN
    /\ r.life \notin replaced /\ Counts(r)
    /\ reports' = Remaining(k, over)
    /\ replaced' = over
    /\ \E elsewhere \in {FALSE, MayBeElsewhere(r)} :
         LET givesUp == r.lapsed /\ at = Here /\ ~elsewhere
             now == IF givesUp THEN Max(Raised, known) ELSE known
             closed == Closed(run, IF givesUp THEN None ELSE at)
         IN
         /\ now <= MaxGeneration
         /\ generation' = [generation EXCEPT ![r.life] = now]
         /\ at' = IF givesUp THEN None ELSE at
         /\ book' = IF closed THEN 0 ELSE Lease
         /\ heard' = IF closed THEN 0 ELSE IF elsewhere THEN heard ELSE r.life
         /\ usable' = (~closed /\ IF elsewhere THEN usable ELSE r.reachable)
         /\ Answer(r, now, TRUE)
    /\ UNCHANGED run

Handle(k) ==
    /\ PassOver(k) \/ OnlyTell(k) \/ Heed(k)
    /\ UNCHANGED <<orders, calls, agentVars, workerVars>>

(* What is never handled is as good as lost; it is taken out only to make room. *)
Lose(k) ==
    /\ Len(reports) = MaxReports
    /\ reports' = SubSeq(reports, 1, k - 1) \o SubSeq(reports, k + 1, Len(reports))
    /\ UNCHANGED <<leaderVars, grant, orders, calls, agentVars, workerVars>>

(* The lease is over in the leader's book, which forgets the worker. It matters if a run is there: *)
(* nothing is placed on a worker whose lease is over until it is heard again.                      *)
Expire ==
    /\ book = 0 /\ at = Here
    /\ Raised <= MaxGeneration
    /\ generation' = [generation EXCEPT ![heard] = Raised]
    /\ at' = None
    /\ heard' = 0 /\ usable' = FALSE
    /\ UNCHANGED <<run, book, replaced, reports, grant, orders, calls, agentVars, workerVars>>

(* A first run there changes nothing here, nor does the end of the last one. *)
Assign(place) ==
    /\ at = None /\ run < MaxRun
    /\ place = There => run > 0
    /\ place = Here => usable /\ book > 0
    /\ run' = run + 1 /\ at' = place
    /\ IF Closed(run + 1, place)
       THEN book' = 0 /\ heard' = 0 /\ usable' = FALSE
       ELSE UNCHANGED <<book, heard, usable>>
    /\ UNCHANGED <<generation, replaced, reports, grant, orders, calls, agentVars, workerVars>>

(* The end of the last run is listed; there, it may be that its lease is over, too. *)
HearOver ==
    /\ run < MaxRun
    /\ at = There \/ (at = Here /\ run <= top)
    /\ at' = None
    /\ UNCHANGED <<run, book, generation, replaced, heard, usable, reports, grant, orders, calls,
                   agentVars, workerVars>>

SendOrder ==
    /\ at = Here /\ heard = life
    /\ orders' = orders \cup {[run |-> run, generation |-> generation[heard]]}
    /\ UNCHANGED <<leaderVars, reports, grant, calls, agentVars, workerVars>>

-----------------------------------------------------------------------------
(* The agent. *)
Report ==
    LET over == ~reachable /\ told = 0
        voids == VoidsAtLapse /\ over /\ ~noted
    IN
    /\ Len(reports) < MaxReports
    /\ noted' = (noted \/ voids)
    /\ untold' = (untold \/ voids)
    /\ held' = IF voids THEN {} ELSE held
    /\ reports' = Append([i \in DOMAIN reports |-> [reports[i] EXCEPT !.newest = FALSE]],
                         [life |-> life, generation |-> adopted, newest |-> TRUE,
                          lapsed |-> untold' \/ over, reachable |-> reachable])
    /\ asked' = Lease
    /\ grant' = {}
    /\ UNCHANGED <<leaderVars, orders, calls, life, adopted, due, lease, told, reachable,
                   workerVars>>

(* What is left of the runs held and of the orders once a generation was told. *)
Kept(g) == IF g > adopted THEN {} ELSE held
InForce(g) == {o \in orders : o.generation >= Max(adopted, g)}

TakeGrant(g) ==
    /\ grant' = {}
    /\ lease' = IF g.counts THEN Max(lease, asked) ELSE lease
    /\ asked' = 0
    /\ untold' = (untold /\ ~g.lapsed)
    /\ IF AdoptsFirst
       THEN /\ adopted' = Max(adopted, g.generation)
            /\ held' = IF g.lapsed THEN {} ELSE Kept(g.generation)
            /\ orders' = InForce(g.generation)
            /\ UNCHANGED due
       ELSE /\ due' = Max(due, g.generation)
            /\ UNCHANGED <<adopted, held, orders>>
    /\ UNCHANGED <<leaderVars, reports, calls, life, told, reachable, noted, workerVars>>

AdoptLate ==
    /\ due > adopted
    /\ held' = {} /\ adopted' = due
    /\ UNCHANGED <<leaderVars, reports, grant, orders, calls, life, due, asked, lease, told, reachable,
                   noted, untold, workerVars>>

(* An order of a lower generation is passed over. *)
TakeOrder(o) ==
    /\ orders' = InForce(o.generation) \ {o}
    /\ adopted' = Max(adopted, o.generation)
    /\ held' = IF o.generation < adopted \/ untold
               THEN Kept(o.generation)
               ELSE Kept(o.generation) \cup {o.run}
    /\ UNCHANGED <<leaderVars, reports, grant, calls, life, due, asked, lease, told, reachable, noted,
                   untold, workerVars>>

(* A start, or for run 0 a renewal, tells the worker how long it may keep its runs. *)
Call(r) ==
    /\ r = 0 \/ r \in held
    /\ reachable /\ lease > 0 /\ ~untold /\ Cardinality(calls) < MaxCalls
    /\ calls' = calls \cup {[run |-> r, generation |-> adopted, left |-> lease]}
    /\ told' = Max(told, lease)
    /\ UNCHANGED <<leaderVars, reports, grant, orders, life, adopted, due, asked, lease, held, reachable,
                   noted, untold, workerVars>>

Silent ==
    /\ reachable
    /\ reachable' = FALSE
    /\ UNCHANGED <<leaderVars, reports, grant, orders, calls, life, adopted, due, asked, lease, told,
                   held, noted, untold, workerVars>>

Regain ==
    /\ ~reachable
    /\ reachable' = TRUE /\ noted' = FALSE
    /\ UNCHANGED <<leaderVars, reports, grant, orders, calls, life, adopted, due, asked, lease, told,
                   held, untold, workerVars>>

(* A process starts anew and knows nothing; what came over its connections is lost. *)
Restart ==
    /\ life < MaxLife
    /\ life' = life + 1
    /\ adopted' = 0 /\ due' = 0 /\ asked' = 0 /\ lease' = 0 /\ held' = {}
    /\ told' = IF RestartWaits THEN Lease ELSE 0
    /\ reachable' = TRUE /\ noted' = FALSE /\ untold' = FALSE
    /\ grant' = {} /\ orders' = {}
    /\ UNCHANGED <<leaderVars, reports, calls, workerVars>>

-----------------------------------------------------------------------------
(* The worker. A time to run holds for all its runs and is never shortened. *)
CarryOut(c) ==
    /\ calls' = {d \in calls \ {c} : WorkerFence => d.generation >= Max(fence, c.generation)}
    /\ IF c.generation < fence /\ WorkerFence
       THEN UNCHANGED workerVars
       ELSE /\ fence' = Max(fence, c.generation)
            /\ hold' = Max(hold, c.left)
            /\ running' = IF c.run > top /\ hold' > 0 THEN running \cup {c.run} ELSE running
            /\ UNCHANGED top
    /\ UNCHANGED <<leaderVars, reports, grant, orders, agentVars>>

LoseCall(c) ==
    /\ Cardinality(calls) = MaxCalls
    /\ calls' = calls \ {c}
    /\ UNCHANGED <<leaderVars, reports, grant, orders, agentVars, workerVars>>

End(r) ==
    /\ running' = running \ {r} /\ top' = Max(top, r)
    /\ UNCHANGED <<leaderVars, reports, grant, orders, calls, agentVars, hold, fence>>

Next ==
    \/ Tick \/ Expire \/ HearOver \/ SendOrder
    \/ \E place \in {Here, There} : Assign(place)
    \/ \E k \in DOMAIN reports : Handle(k) \/ Lose(k)
    \/ Report \/ AdoptLate \/ Silent \/ Regain \/ Restart
    \/ \E g \in grant : TakeGrant(g)
    \/ \E o \in orders : TakeOrder(o)
    \/ \E r \in 0..MaxRun : Call(r)
    \/ \E c \in calls : CarryOut(c) \/ LoseCall(c)
    \/ \E r \in running : End(r)

Spec == Init /\ [][Next]_vars

(* The present process is never passed over. *)
PresentHeard == life \notin replaced
(* The task never runs in two places at once, nor twice in one. *)
OnePlace == running # {} => (at # There /\ Cardinality(running) = 1)
=============================================================================
