------------------------------- MODULE Claims -------------------------------
(* Who leads, and what a leader has stored when it tells its callers. Each     *)
(* process starts once and may end at any time; a restart is the next process. *)
(* A process that starts reads only the newest record of the topic of claims.  *)
(* Claims and resignations take effect at any time after they were sent, or    *)
(* never. Time is left out: any process may claim at any time.                 *)
EXTENDS Integers, Sequences, FiniteSets

CONSTANTS
    Processes,      \* bound: the processes that ever start
    MaxEpoch,       \* bound: the epochs
    MaxAppends,     \* bound: the appends of one leader
    MaxCalls,       \* bound: the writes on their way at once
    AtRead,         \* a resignation is written at the end that the process has read up to
    OwnNumbers,     \* each leader numbers its appends in its own way
    ChecksEnd       \* a leader compares the end in an answer with the one it expects

VARIABLES
    claims,         \* the topic of claims
    calls,          \* writes to it on their way, for any time
    started, ended, \* processes
    position,       \* processes: the number of claims read
    belief,         \* processes: the newest claim read
    fence,          \* the highest epoch that the cell's topic has seen
    cell,           \* the cell's topic
    answers,        \* the appends under that epoch, each with its first answer
    known,          \* leaders: the end of the cell's topic as read, -1 before that
    appends,        \* leaders: the number of their appends
    stopped,        \* processes whose leader has ended itself
    told            \* appends whose callers were told

vars == <<claims, calls, started, ended, position, belief, fence, cell, answers, known, appends, stopped, told>>

electionVars == <<claims, calls, started, ended, position, belief>>
cellVars == <<fence, cell, answers, known, appends, stopped, told>>

Everyone == 1..Processes
NoClaim == [epoch |-> 0, by |-> 0, held |-> FALSE]
Alive(p) == p <= started /\ p \notin ended
Leads(p) == Alive(p) /\ belief[p].held /\ belief[p].by = p
Newest == IF claims = <<>> THEN NoClaim ELSE claims[Len(claims)]

Init ==
    /\ claims = <<>> /\ calls = {} /\ started = 0 /\ ended = {}
    /\ position = [p \in Everyone |-> 0] /\ belief = [p \in Everyone |-> NoClaim]
    /\ fence = 0 /\ cell = <<>> /\ answers = <<>>
    /\ known = [p \in Everyone |-> -1] /\ appends = [p \in Everyone |-> 0]
    /\ stopped = {} /\ told = {}

Start ==
    /\ started < Processes
    /\ started' = started + 1
    /\ position' = [position EXCEPT ![started + 1] = Len(claims)]
    /\ belief' = [belief EXCEPT ![started + 1] = Newest]
    /\ UNCHANGED <<claims, calls, ended, cellVars>>

End(p) ==
    /\ Alive(p)
    /\ ended' = ended \cup {p}
    /\ UNCHANGED <<claims, calls, started, position, belief, cellVars>>

(* A claim of an older epoch than the newest one read is passed over. *)
Read(p) ==
    /\ Alive(p) /\ position[p] < Len(claims)
    /\ LET next == claims[position[p] + 1] IN
       belief' = [belief EXCEPT ![p] = IF next.epoch >= @.epoch THEN next ELSE @]
    /\ position' = [position EXCEPT ![p] = @ + 1]
    /\ UNCHANGED <<claims, calls, started, ended, cellVars>>

Claim(p) ==
    /\ Alive(p) /\ ~Leads(p) /\ belief[p].epoch < MaxEpoch /\ Cardinality(calls) < MaxCalls
    /\ calls' = calls \cup {[epoch |-> belief[p].epoch + 1, by |-> p, held |-> TRUE, at |-> position[p]]}
    /\ UNCHANGED <<claims, started, ended, position, belief, cellVars>>

Resign(p) ==
    /\ Leads(p) /\ p \notin stopped /\ Cardinality(calls) < MaxCalls
    /\ calls' = calls \cup {[epoch |-> belief[p].epoch, by |-> p, held |-> FALSE,
                             at |-> IF AtRead THEN position[p] ELSE Len(claims)]}
    /\ stopped' = stopped \cup {p}
    /\ UNCHANGED <<claims, started, ended, position, belief, fence, cell, answers, known, appends, told>>

(* The store carries a write out if the topic still ends there; the others on their way there never are. *)
Write(c) ==
    /\ c.at = Len(claims)
    /\ claims' = Append(claims, [epoch |-> c.epoch, by |-> c.by, held |-> c.held])
    /\ calls' = {other \in calls : other.at > c.at}
    /\ UNCHANGED <<started, ended, position, belief, cellVars>>

(* A new leader raises the epoch and reads the state. An equal epoch changes nothing. *)
TakeOver(p) ==
    /\ Leads(p) /\ p \notin stopped /\ known[p] < 0 /\ belief[p].epoch >= fence
    /\ fence' = belief[p].epoch
    /\ answers' = IF belief[p].epoch > fence THEN <<>> ELSE answers
    /\ known' = [known EXCEPT ![p] = Len(cell)]
    /\ UNCHANGED <<electionVars, cell, appends, stopped, told>>

Number(p) == (IF OwnNumbers THEN 10 * p ELSE 0) + appends[p] + 1

(* An append and its answer. One that the store refuses ends the leader. *)
AppendState(p) ==
    LET number == Number(p)
        repeated == {i \in 1..Len(answers) : answers[i].number = number}
        follows == answers = <<>> \/ answers[Len(answers)].number = number - 1
        accepted == repeated = {} /\ follows /\ known[p] = Len(cell)
        end == IF repeated = {} THEN Len(cell) + 1 ELSE answers[CHOOSE i \in repeated : TRUE].end
        believed == (accepted \/ repeated # {}) /\ (ChecksEnd => end = known[p] + 1)
        change == [by |-> p, nth |-> appends[p] + 1]
    IN  /\ Leads(p) /\ p \notin stopped /\ known[p] >= 0 /\ appends[p] < MaxAppends
        /\ fence = belief[p].epoch
        /\ cell' = IF accepted THEN Append(cell, change) ELSE cell
        /\ answers' = IF accepted THEN Append(answers, [number |-> number, end |-> end]) ELSE answers
        /\ known' = [known EXCEPT ![p] = @ + 1]
        /\ appends' = [appends EXCEPT ![p] = @ + 1]
        /\ told' = IF believed THEN told \cup {change} ELSE told
        /\ stopped' = IF believed THEN stopped ELSE stopped \cup {p}
        /\ UNCHANGED <<electionVars, fence>>

Next ==
    \/ Start
    \/ \E p \in Everyone : End(p) \/ Read(p) \/ Claim(p) \/ Resign(p) \/ TakeOver(p) \/ AppendState(p)
    \/ \E c \in calls : Write(c)

Spec == Init /\ [][Next]_vars

EpochsRise == \A i, j \in 1..Len(claims) : i < j => claims[i].epoch <= claims[j].epoch

OneHolder == \A i, j \in 1..Len(claims) : claims[i].epoch = claims[j].epoch => claims[i].by = claims[j].by

ToldIsKept == \A t \in told : \E i \in 1..Len(cell) : cell[i] = t
=============================================================================
