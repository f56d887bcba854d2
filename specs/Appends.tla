------------------------------- MODULE Appends -------------------------------
(* What a leader tells callers and workers once the store has kept it. Its     *)
(* changes come from several parts, are taken one after the other into one     *)
(* append, and are told when that is answered. Anything may throw in between.  *)
EXTENDS Integers, FiniteSets

CONSTANTS
    Changes,        \* bound: the changes of a leader
    EndsOnThrow     \* a throw ends the leader: nothing that waits is told any more

VARIABLES
    made,           \* changes made
    pending,        \* changes that no append has taken
    waiting,        \* changes that somebody waits to be told of
    batch,          \* changes taken for the append under way
    effects,        \* what is told once that is answered
    kept,           \* changes in the store
    told,           \* changes that somebody was told of
    phase           \* "idle", "taking", "sent" or "over"

vars == <<made, pending, waiting, batch, effects, kept, told, phase>>

Init ==
    /\ made = {} /\ pending = {} /\ waiting = {} /\ batch = {}
    /\ effects = {} /\ kept = {} /\ told = {} /\ phase = "idle"

Make(c) ==
    /\ phase # "over" /\ phase # "taking" /\ c \notin made
    /\ made' = made \cup {c} /\ pending' = pending \cup {c} /\ waiting' = waiting \cup {c}
    /\ UNCHANGED <<batch, effects, kept, told, phase>>

Begin ==
    /\ phase = "idle" /\ pending # {}
    /\ phase' = "taking" /\ batch' = {}
    /\ UNCHANGED <<made, pending, waiting, effects, kept, told>>

Take(c) ==
    /\ phase = "taking" /\ c \in pending
    /\ batch' = batch \cup {c} /\ pending' = pending \ {c}
    /\ UNCHANGED <<made, waiting, effects, kept, told, phase>>

Send ==
    /\ phase = "taking" /\ pending = {}
    /\ effects' = waiting /\ waiting' = {}
    /\ phase' = "sent"
    /\ UNCHANGED <<made, pending, batch, kept, told>>

(* The store may keep an append, also after its leader is over; the fence of the next one ends that. *)
Keep ==
    /\ phase \in {"sent", "over"} /\ batch # {}
    /\ kept' = kept \cup batch
    /\ UNCHANGED <<made, pending, waiting, batch, effects, told, phase>>

Tell(c) ==
    /\ phase = "sent" /\ batch \subseteq kept /\ c \in effects
    /\ told' = told \cup {c} /\ effects' = effects \ {c}
    /\ UNCHANGED <<made, pending, waiting, batch, kept, phase>>

Answered ==
    /\ phase = "sent" /\ batch \subseteq kept /\ effects = {}
    /\ phase' = "idle" /\ batch' = {}
    /\ UNCHANGED <<made, pending, waiting, effects, kept, told>>

(* Whatever throws while changes are taken or told; what was taken is in no part any more. *)
Throw ==
    /\ phase \in {"taking", "sent"}
    /\ IF EndsOnThrow
       THEN phase' = "over" /\ UNCHANGED batch
       ELSE /\ phase' = IF phase = "taking" THEN "idle" ELSE phase
            /\ batch' = IF phase = "taking" THEN {} ELSE batch
    /\ UNCHANGED <<made, pending, waiting, effects, kept, told>>

Next ==
    \/ Begin \/ Send \/ Keep \/ Answered \/ Throw
    \/ \E c \in Changes : Make(c) \/ Take(c) \/ Tell(c)

Spec == Init /\ [][Next]_vars

ToldIsKept == told \subseteq kept
=============================================================================
