------------------------------ MODULE Requests ------------------------------
(* One request of a caller, tried at two agents in turn over connections that *)
(* may be lost at any moment; agents may restart. Forwards and questions may  *)
(* arrive late, in any order, also after the connection was lost.             *)
EXTENDS Integers, FiniteSets

CONSTANTS
    Repeatable,         \* whether the request may run twice
    Bars,               \* an agent bars an id that it is asked about and has not seen
    ChecksIncarnation,  \* an agent that has restarted says "unknown" about earlier ids
    RetriesUnknown,     \* the entry tries again after "unknown" although it must not
    RemembersUnknown    \* once a try is unknown the request is never called "not run"

Tries == {1, 2}         \* try 1 goes to agent 1, try 2 to agent 2

VARIABLES
    current,    \* the try under way, 0 before the first
    link,       \* whether the connection of each try is up
    forwards,   \* forwards on their way
    questions,  \* questions on their way
    answers,    \* answers on their way: <<try, outcome>>
    table,      \* what each agent knows of its try
    restarted,  \* whether each agent has restarted since the try was sent
    runs,       \* how often the request ran
    doubtful,   \* whether a try ended as unknown
    told        \* what the caller was told, "" if nothing yet

vars == <<current, link, forwards, questions, answers, table, restarted, runs, doubtful, told>>

Init ==
    /\ current = 0 /\ link = [t \in Tries |-> TRUE]
    /\ forwards = {} /\ questions = {} /\ answers = {}
    /\ table = [t \in Tries |-> "new"] /\ restarted = [t \in Tries |-> FALSE]
    /\ runs = 0 /\ doubtful = FALSE /\ told = ""

Send(t) ==
    /\ told = "" /\ current = t - 1
    /\ current' = t /\ forwards' = forwards \cup {t}
    /\ UNCHANGED <<link, questions, answers, table, restarted, runs, doubtful, told>>

Arrive(t) ==
    /\ t \in forwards
    /\ forwards' = forwards \ {t}
    /\ IF table[t] = "new"
       THEN /\ table' = [table EXCEPT ![t] = "running"]
            /\ runs' = runs + 1
            /\ UNCHANGED answers
       ELSE /\ answers' = answers \cup {<<t, "not run">>}
            /\ UNCHANGED <<table, runs>>
    /\ UNCHANGED <<current, link, questions, restarted, doubtful, told>>

(* The agent refuses a forward without running it, as when its queue is full. *)
Refuse(t) ==
    /\ t \in forwards /\ table[t] = "new"
    /\ forwards' = forwards \ {t}
    /\ table' = [table EXCEPT ![t] = "refused"]
    /\ answers' = answers \cup {<<t, "not run">>}
    /\ UNCHANGED <<current, link, questions, restarted, runs, doubtful, told>>

Finish(t) ==
    /\ table[t] = "running"
    /\ table' = [table EXCEPT ![t] = "done"]
    /\ answers' = answers \cup {<<t, "answered">>}
    /\ UNCHANGED <<current, link, forwards, questions, restarted, runs, doubtful, told>>

(* The upstream's answer is lost: the agent does not know either. *)
Lose(t) ==
    /\ table[t] = "running"
    /\ table' = [table EXCEPT ![t] = "unknown"]
    /\ answers' = answers \cup {<<t, "unknown">>}
    /\ UNCHANGED <<current, link, forwards, questions, restarted, runs, doubtful, told>>

Restart(t) ==
    /\ current >= t /\ ~restarted[t]
    /\ restarted' = [restarted EXCEPT ![t] = TRUE]
    /\ table' = [table EXCEPT ![t] = "new"]
    /\ link' = [link EXCEPT ![t] = FALSE]
    /\ forwards' = forwards \ {t}
    /\ answers' = {a \in answers : a[1] # t}
    /\ UNCHANGED <<current, questions, runs, doubtful, told>>

Cut(t) ==
    /\ current = t /\ link[t] /\ told = ""
    /\ link' = [link EXCEPT ![t] = FALSE]
    /\ answers' = {a \in answers : a[1] # t}
    /\ UNCHANGED <<current, forwards, questions, table, restarted, runs, doubtful, told>>

Ask(t) ==
    /\ current = t /\ ~link[t] /\ told = "" /\ t \notin questions
    /\ questions' = questions \cup {t}
    /\ UNCHANGED <<current, link, forwards, answers, table, restarted, runs, doubtful, told>>

Reply(t) ==
    /\ t \in questions /\ table[t] # "running"
    /\ questions' = questions \ {t}
    /\ LET says ==
             IF restarted[t] /\ ChecksIncarnation THEN "unknown"
             ELSE CASE table[t] \in {"new", "barred", "refused"} -> "not run"
                    [] table[t] = "done" -> "answered"
                    [] OTHER -> "unknown"
       IN  answers' = answers \cup {<<t, says>>}
    /\ table' = IF Bars /\ table[t] = "new" THEN [table EXCEPT ![t] = "barred"] ELSE table
    /\ UNCHANGED <<current, link, forwards, restarted, runs, doubtful, told>>

(* The entry takes an answer to the try under way. *)
Take(a) ==
    /\ told = "" /\ a[1] = current
    /\ answers' = answers \ {a}
    /\ LET t == a[1]
           again == t = 1 /\ ( \/ a[2] = "not run"
                               \/ a[2] = "unknown" /\ (Repeatable \/ RetriesUnknown) )
       IN  CASE a[2] = "answered" ->
                    /\ told' = "answered"
                    /\ UNCHANGED <<current, forwards, doubtful>>
             [] a[2] # "answered" /\ again ->
                    /\ current' = 2 /\ forwards' = forwards \cup {2}
                    /\ doubtful' = (doubtful \/ a[2] = "unknown")
                    /\ UNCHANGED told
             [] OTHER ->
                    /\ told' = IF a[2] = "unknown" \/ (doubtful /\ RemembersUnknown)
                               THEN "unknown" ELSE "not run"
                    /\ UNCHANGED <<current, forwards, doubtful>>
    /\ UNCHANGED <<link, questions, table, restarted, runs>>

(* The caller's time is up. *)
GiveUp ==
    /\ current > 0 /\ told = ""
    /\ told' = "unknown"
    /\ UNCHANGED <<current, link, forwards, questions, answers, table, restarted, runs, doubtful>>

Next ==
    \/ GiveUp \/ Send(1)
    \/ \E t \in Tries : Arrive(t) \/ Refuse(t) \/ Finish(t) \/ Lose(t) \/ Restart(t)
                        \/ Cut(t) \/ Ask(t) \/ Reply(t)
    \/ \E a \in answers : Take(a)

Spec == Init /\ [][Next]_vars

(* A request that may not be repeated runs at most once. *)
AtMostOnce == ~Repeatable => runs <= 1
(* When a caller is told "not run", the request has not run and never will. *)
NotRunIsTrue == told = "not run" => runs = 0
=============================================================================
