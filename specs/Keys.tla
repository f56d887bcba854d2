-------------------------------- MODULE Keys --------------------------------
(* A caller sends the same keyed request twice, within the window, through    *)
(* different entries. Its home may restart or move to another agent between.  *)
EXTENDS Integers, FiniteSets

CONSTANTS
    WaitsAfterStart,    \* an agent refuses keys for the window after its start
    WaitsAfterMove,     \* and keys that have moved to it, since it learned of that
    ComparesRosters     \* an agent refuses a key sent under another list of upstreams

Agents == {1, 2}
Sends == {1, 2}
HomeOf(version) == version      \* the bundle's second version moves the key to agent 2

VARIABLES
    version,    \* the bundle in force at each agent: 1 or 2
    entry,      \* the bundle that each send's entry sees
    sent, forwards, kept, waits, runs

vars == <<version, entry, sent, forwards, kept, waits, runs>>

Init ==
    /\ version = [a \in Agents |-> 1] /\ entry \in [Sends -> {1, 2}]
    /\ sent = {} /\ forwards = {} /\ kept = [a \in Agents |-> FALSE]
    /\ waits = [a \in Agents |-> FALSE] /\ runs = 0

Send(s) ==
    /\ s \notin sent
    /\ sent' = sent \cup {s} /\ forwards' = forwards \cup {s}
    /\ UNCHANGED <<version, entry, kept, waits, runs>>

(* All of this happens within the window, so a wait does not end before it does. *)
Arrive(s) ==
    LET a == HomeOf(entry[s])
        refused == waits[a] \/ (ComparesRosters /\ version[a] # entry[s])
        replayed == kept[a]
    IN  /\ s \in forwards
        /\ forwards' = forwards \ {s}
        /\ IF refused \/ replayed THEN UNCHANGED <<kept, runs>>
           ELSE kept' = [kept EXCEPT ![a] = TRUE] /\ runs' = runs + 1
        /\ UNCHANGED <<version, entry, sent, waits>>

Restart(a) ==
    /\ kept' = [kept EXCEPT ![a] = FALSE]
    /\ waits' = [waits EXCEPT ![a] = WaitsAfterStart]
    /\ UNCHANGED <<version, entry, sent, forwards, runs>>

Learn(a) ==
    /\ version[a] = 1
    /\ version' = [version EXCEPT ![a] = 2]
    /\ waits' = [waits EXCEPT ![a] = @ \/ (WaitsAfterMove /\ HomeOf(2) = a)]
    /\ UNCHANGED <<entry, sent, forwards, kept, runs>>

Next == \E s \in Sends : Send(s) \/ Arrive(s) \/ \E a \in Agents : Restart(a) \/ Learn(a)
Spec == Init /\ [][Next]_vars

AtMostOnce == runs <= 1
=============================================================================
