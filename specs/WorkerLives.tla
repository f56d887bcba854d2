---------------------------- MODULE WorkerLives -----------------------------
(* What becomes of the runs of a worker that starts again under its id. A     *)
(* call names the id alone, so one that was meant for a former life may be    *)
(* carried out by the present one, at any time. One agent looks after the     *)
(* worker, and one leader places one task there or on another worker. Orders  *)
(* and reports reach their ends at once, but for the generation, which the    *)
(* agent adopts later: AgentLeases has the rest.                              *)
EXTENDS Integers, Sequences, FiniteSets

CONSTANTS
    MaxRun, MaxLife, MaxCalls,   \* bounds
    TellsLives,          \* a list names the life that answers
    RaisesFirst,         \* the generation rises before anything of the former life is given up
    WaitsForLists,       \* the runs stay placed until the present life has listed its own ...
    ListsUnderRaised,    \* ... under the generation that rose
    TakesOver,           \* what the present life lists goes on there
    RecordsAnew,         \* the number of recorded ends starts anew with each life
    RepeatsCalls         \* a start is called for again when its answer is lost

None == 0
There == MaxLife + 1
Lives == 1..MaxLife

VARIABLES
    life, fence, running, ended, forgotten, \* the worker: its life, what it knows; ends forgotten
    run, at, over, generation, finished,    \* the leader: the last run and the life where it is
                                            \* placed; the life whose runs are open; the task done
    believed, adopted, recorded,            \* the agent: the life it knows, its generation, the
                                            \* last end that was recorded
    calls, called,                          \* starts that may be carried out at any time; the last
                                            \* run for which one was called
    lost                                    \* whether an end was forgotten that nobody had heard

workerVars == <<life, fence, running, ended, forgotten>>
leaderVars == <<run, at, over, generation, finished>>
agentVars == <<believed, adopted, recorded>>
callVars == <<calls, called>>
vars == <<workerVars, leaderVars, agentVars, callVars, lost>>

Range(s) == {s[i] : i \in DOMAIN s}
Max(a, b) == IF a > b THEN a ELSE b

Init ==
    /\ life = 1 /\ fence = 0 /\ running = {} /\ ended = <<>> /\ forgotten = 0
    /\ run = 0 /\ at = None /\ over = None /\ generation = 1 /\ finished = FALSE
    /\ believed = 1 /\ adopted = 1 /\ recorded = 0
    /\ calls = {} /\ called = 0 /\ lost = FALSE

-----------------------------------------------------------------------------
(* The worker. *)
StartAgain ==
    /\ life < MaxLife
    /\ life' = life + 1
    /\ fence' = 0 /\ running' = {} /\ ended' = <<>> /\ forgotten' = 0
    /\ UNCHANGED <<leaderVars, agentVars, callVars, lost>>

(* A start is refused if the run is not above one that has ended in this life. *)
CarryOut(c) ==
    LET barred == \E r \in Range(ended) : r >= c.run
    IN
    /\ calls' = calls \ {c}
    /\ IF c.generation < fence
       THEN UNCHANGED <<fence, running>>
       ELSE /\ fence' = c.generation
            /\ running' = IF barred THEN running ELSE running \cup {c.run}
    /\ UNCHANGED <<life, ended, forgotten, leaderVars, agentVars, called, lost>>

End(r) ==
    /\ running' = running \ {r}
    /\ ended' = Append(ended, r)
    /\ UNCHANGED <<life, fence, forgotten, leaderVars, agentVars, callVars, lost>>

-----------------------------------------------------------------------------
(* The leader. *)
Assign(place) ==
    /\ at = None /\ run < MaxRun /\ ~finished /\ over = None
    /\ run' = run + 1
    /\ at' = place
    /\ UNCHANGED <<over, generation, finished, workerVars, agentVars, callVars, lost>>

EndThere ==
    /\ at = There
    /\ at' = None
    /\ finished' \in BOOLEAN
    /\ UNCHANGED <<run, over, generation, workerVars, agentVars, callVars, lost>>

-----------------------------------------------------------------------------
(* The agent. *)
Start ==
    /\ at = believed /\ over = None /\ Cardinality(calls) < MaxCalls
    /\ RepeatsCalls \/ run > called
    /\ called' = run
    /\ calls' = calls \cup {[run |-> run, generation |-> adopted]}
    /\ UNCHANGED <<workerVars, leaderVars, agentVars, lost>>

Adopt ==
    /\ adopted < generation
    /\ adopted' = generation
    /\ UNCHANGED <<workerVars, leaderVars, believed, recorded, callVars, lost>>

(* Another life answers than the one that is known. *)
FindOver ==
    /\ believed' = life
    /\ recorded' = IF RecordsAnew THEN 0 ELSE recorded
    /\ generation' = IF RaisesFirst THEN generation + 1 ELSE generation
    /\ IF at = believed
       THEN IF WaitsForLists
            THEN over' = believed /\ UNCHANGED at
            ELSE at' = None /\ over' = None
       ELSE UNCHANGED <<at, over>>
    /\ UNCHANGED <<run, finished, adopted>>

(* What the leader makes of lists. A run that has ended is done or has failed. *)
Heed(listed, ends) ==
    LET settles == over # None /\ (ListsUnderRaised => adopted = generation)
        heeds == over = None \/ settles
        there == run \in listed \cup ends
        place == IF settles
                 THEN IF there /\ TakesOver THEN believed ELSE None
                 ELSE at
        isOver == heeds /\ run \in ends /\ place = believed
    IN
    /\ over' = IF settles THEN None ELSE over
    /\ finished' \in IF isOver THEN {finished, TRUE} ELSE {finished}
    /\ at' = IF isOver THEN None ELSE place
    /\ recorded' = IF heeds THEN Max(recorded, Len(ended)) ELSE recorded
    /\ UNCHANGED <<run, generation, believed, adopted>>

(* A renewal that is answered at once. A worker that has gone since the last one broke the *)
(* connection, so it is told of no recorded ends.                                          *)
Renew ==
    LET told == IF believed # life /\ TellsLives /\ RecordsAnew THEN 0 ELSE recorded
        ends == {ended[i] : i \in {j \in DOMAIN ended : j > Max(forgotten, told)}}
        unheard == {ended[i] : i \in {j \in DOMAIN ended : j > forgotten /\ j <= told}}
    IN
    /\ adopted >= fence
    /\ fence' = adopted
    /\ forgotten' = Max(forgotten, IF told > Len(ended) THEN Len(ended) ELSE told)
    /\ lost' = (lost \/ (~(TellsLives /\ RecordsAnew) /\ run \in unheard /\ ~finished))
    /\ IF TellsLives /\ believed # life
       THEN FindOver
       ELSE Heed(running, ends)
    /\ UNCHANGED <<life, running, ended, callVars>>

Next ==
    \/ StartAgain \/ Start \/ Adopt \/ Renew \/ EndThere
    \/ \E place \in {believed, There} : Assign(place)
    \/ \E c \in calls : CarryOut(c)
    \/ \E r \in running : End(r)

Spec == Init /\ [][Next]_vars

(* The task never runs here while it is at work elsewhere, nor twice here. *)
OnePlace == running # {} => (at # There /\ Cardinality(running) = 1)
(* Nothing runs once a run was noted as done. *)
NotAgain == finished => running = {}
(* No end is forgotten by the worker before the leader has heard of it. *)
NoEndLost == ~lost
=============================================================================
