------------------------------- MODULE Bundles ------------------------------
(* Two operators race with bundles in a log that drops old records. A leader  *)
(* carries the accepted bundle forward in snapshots, which may land late. A   *)
(* reader folds the log; another starts after records were dropped.           *)
EXTENDS Integers, Sequences, FiniteSets

CONSTANTS
    MaxLog,
    ChecksBase,         \* a bundle counts only if its base is the version in force
    SnapshotHasOffset,  \* a snapshot counts as of the offset it was taken at, not where it landed
    NeedsSnapshot       \* a reader that starts late acts only once it knows a snapshot

VARIABLES
    log,        \* the records, by offset from 1
    first,      \* the first offset still kept
    late,       \* snapshots that may yet land
    names,      \* how many bundles were published
    pos, ver, covered, known,   \* the late reader; known is whether it acts
    seen        \* the version it has acted on last

vars == <<log, first, late, names, pos, ver, covered, known, seen>>

(* The version in force after n records: the bundle's name, 0 for none. *)
RECURSIVE Truth(_)
Truth(n) ==
    IF n = 0 THEN 0
    ELSE LET r == log[n] IN
         IF r.kind = "bundle" /\ r.base = Truth(n - 1) THEN r.name ELSE Truth(n - 1)

Init ==
    /\ log = <<>> /\ first = 1 /\ late = {} /\ names = 0
    /\ pos = -1 /\ ver = 0 /\ covered = 0 /\ known = FALSE /\ seen = 0

(* An operator bases a bundle on any version that was in force at some time. *)
Publish(n) ==
    /\ Len(log) < MaxLog /\ n \in 0..Len(log)
    /\ log' = Append(log, [kind |-> "bundle", base |-> Truth(n), name |-> names + 1, asOf |-> 0])
    /\ names' = names + 1
    /\ UNCHANGED <<first, late, pos, ver, covered, known, seen>>

TakeSnapshot ==
    /\ Len(log) > 0 /\ Cardinality(late) < 2
    /\ late' = late \cup {[kind |-> "snapshot", base |-> 0, name |-> Truth(Len(log)),
                           asOf |-> Len(log)]}
    /\ UNCHANGED <<log, first, names, pos, ver, covered, known, seen>>

LandSnapshot(s) ==
    /\ Len(log) < MaxLog
    /\ log' = Append(log, s) /\ late' = late \ {s}
    /\ UNCHANGED <<first, names, pos, ver, covered, known, seen>>

Drop ==
    /\ first <= Len(log)
    /\ first' = first + 1
    /\ UNCHANGED <<log, late, names, pos, ver, covered, known, seen>>

(* The late reader starts at the first offset kept, with the best snapshot it finds. *)
Usable == {i \in first..Len(log) : log[i].kind = "snapshot" /\ log[i].asOf >= first - 1}
AsOf(i) == IF SnapshotHasOffset THEN log[i].asOf ELSE i
Best == CHOOSE i \in Usable : \A j \in Usable : AsOf(j) <= AsOf(i)

Begin ==
    /\ pos = -1 /\ first > 1
    /\ pos' = first - 1
    /\ IF Usable # {}
       THEN covered' = AsOf(Best) /\ ver' = log[Best].name /\ known' = TRUE
       ELSE covered' = 0 /\ ver' = 0 /\ known' = ~NeedsSnapshot
    /\ UNCHANGED <<log, first, late, names, seen>>

Fold ==
    /\ pos >= 0 /\ pos < Len(log) /\ pos + 1 >= first
    /\ LET r == log[pos + 1]
           counts == known /\ pos + 1 > covered /\ r.kind = "bundle"
                     /\ (ChecksBase => r.base = ver)
       IN  ver' = IF counts THEN r.name ELSE ver
    /\ pos' = pos + 1
    /\ UNCHANGED <<log, first, late, names, covered, known, seen>>

Next ==
    \/ \E n \in 0..MaxLog : Publish(n)
    \/ TakeSnapshot \/ Drop \/ Begin \/ Fold
    \/ \E s \in late : LandSnapshot(s)

Spec == Init /\ [][Next]_vars

(* A reader that acts holds the version that every other reader holds at the same offset. *)
At == IF pos > covered THEN pos ELSE covered
Agreement == (known /\ pos >= 0) => ver = Truth(At)
=============================================================================
