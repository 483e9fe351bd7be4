-- Replay of a log: records that are appended again after a lost response,
-- snapshots, retention, and a process that joins. The changes of writer 1 apply
-- to a base version of the configuration; those of writer 2 have no base.
--
-- BROKEN selects a variant that violates a property; 0 is the protocol:
--   1  replay applies a duplicate record again
--   2  a snapshot is marked with an offset later than its state
--   3  a process loads a snapshot that is older than its own state
--   4  a change is accepted although its base version is not current

const
  BROKEN: 0;
  WRITERS: 2;
  ENTRIES: 4;  -- Maximum number of records in the log.
  CHANGES: 2;  -- Number of changes by each writer.

type
  Writer: 1 .. WRITERS;
  Offset: 0 .. ENTRIES;  -- 0: before the first record.
  LogIndex: 1 .. ENTRIES;
  Sequence: 0 .. CHANGES;
  Version: 0 .. WRITERS * CHANGES;
  LogRecord: record
    writer: 0 .. WRITERS;
    sequence: Sequence;
    base: Version;
  end;
  State: record
    offset: Offset;
    version: Version;
    accepted: 0 .. ENTRIES;  -- Number of accepted records.
    last_sequence: array [Writer] of Sequence;
  end;
  Process: 1 .. 3;  -- 1 and 2 are writers; 3 joins later.

var
  log: array [LogIndex] of LogRecord;
  end_offset: Offset;
  first_kept: LogIndex;  -- Oldest record that the log retains.
  state: array [Process] of State;
  loaded: array [Process] of boolean;
  -- Highest version that has been in force at the process.
  highest_version: array [Process] of Version;
  snapshot: State;
  has_snapshot: boolean;
  sequence: array [Writer] of Sequence;  -- Sequence of the latest change.
  base: array [Writer] of Version;  -- Base version of that change.
  change_pending: array [Writer] of boolean;
  reference: State;  -- Applies each record once, when it is appended.
  twice: boolean;

procedure Apply(var s: State; r: LogRecord);
begin
  if r.sequence > s.last_sequence[r.writer] | BROKEN = 1 then
    s.last_sequence[r.writer] := r.sequence;
    if (r.base = s.version | r.writer = 2 | BROKEN = 4) &
       s.version < WRITERS * CHANGES then
      s.version := s.version + 1;
      s.accepted := s.accepted + 1;
    end;
  end;
end;

procedure Reset(var s: State);
begin
  s.offset := 0;
  s.version := 0;
  s.accepted := 0;
  for w: Writer do
    s.last_sequence[w] := 0;
  end;
end;

startstate
begin
  for p: LogIndex do
    log[p].writer := 0;
    log[p].sequence := 0;
    log[p].base := 0;
  end;
  end_offset := 0;
  first_kept := 1;
  for p: Process do
    Reset(state[p]);
    loaded[p] := p != 3;
    highest_version[p] := 0;
  end;
  Reset(snapshot);
  has_snapshot := false;
  Reset(reference);
  twice := false;
  for w: Writer do
    sequence[w] := 0;
    base[w] := 0;
    change_pending[w] := false;
  end;
end;

ruleset w: Writer do

  rule "a writer begins a change of its current version"
    !change_pending[w] & sequence[w] < CHANGES
  ==>
  begin
    change_pending[w] := true;
    sequence[w] := sequence[w] + 1;
    base[w] := state[w].version;
  end;

  -- May be repeated with the same record if the response was lost, also after
  -- the record was applied.
  rule "a record is appended"
    sequence[w] > 0 & end_offset < ENTRIES
  ==>
  begin
    end_offset := end_offset + 1;
    log[end_offset].writer := w;
    log[end_offset].sequence := sequence[w];
    log[end_offset].base := base[w];
    -- The reference accepts a record once, and only on its base version.
    if sequence[w] > reference.last_sequence[w] then
      reference.last_sequence[w] := sequence[w];
      if (base[w] = reference.version | w = 2) &
         reference.version < WRITERS * CHANGES then
        reference.version := reference.version + 1;
      end;
    end;
    reference.offset := end_offset;
  end;

  rule "a writer reads that its change was applied"
    change_pending[w] & state[w].last_sequence[w] = sequence[w]
  ==>
  begin
    change_pending[w] := false;
  end;

end;

ruleset p: Process do

  rule "a process applies the next record"
    loaded[p] & state[p].offset < end_offset & state[p].offset + 1 >= first_kept
  ==>
  begin
    Apply(state[p], log[state[p].offset + 1]);
    state[p].offset := state[p].offset + 1;
    if state[p].version > highest_version[p] then
      highest_version[p] := state[p].version;
    end;
  end;

  rule "a process writes a snapshot"
    loaded[p] & state[p].offset > 0 &
    (!has_snapshot | state[p].offset > snapshot.offset)
  ==>
  begin
    snapshot := state[p];
    has_snapshot := true;
    if BROKEN = 2 & end_offset > state[p].offset then
      snapshot.offset := end_offset;
    end;
  end;

  rule "a process loads the snapshot, as the log no longer has its next record"
    has_snapshot & state[p].offset + 1 < first_kept &
    (snapshot.offset > state[p].offset | BROKEN = 3)
  ==>
  begin
    state[p] := snapshot;
    loaded[p] := true;
    if snapshot.version > highest_version[p] then
      highest_version[p] := snapshot.version;
    end;
  end;

  rule "a process loads an old snapshot"
    BROKEN = 3 & has_snapshot & loaded[p]
  ==>
  begin
    state[p] := snapshot;
  end;

end;

rule "a process joins from the snapshot"
  !loaded[3] & has_snapshot
==>
begin
  state[3] := snapshot;
  loaded[3] := true;
  highest_version[3] := snapshot.version;
end;

rule "a process joins from the start of the log"
  !loaded[3] & first_kept = 1
==>
begin
  Reset(state[3]);
  loaded[3] := true;
  highest_version[3] := 0;
end;

rule "the log removes its oldest record once a snapshot includes it"
  has_snapshot & snapshot.offset >= first_kept & first_kept < ENTRIES
==>
begin
  first_kept := first_kept + 1;
end;

invariant "processes at the end of the log agree with the reference"
  forall p: Process do
    (loaded[p] & state[p].offset = end_offset) ->
    state[p].version = reference.version
  end;

invariant "the version in force never decreases"
  forall p: Process do loaded[p] -> state[p].version >= highest_version[p] end;

invariant "each accepted change increments the version once"
  forall p: Process do state[p].accepted = state[p].version end;
