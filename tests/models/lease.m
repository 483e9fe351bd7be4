-- Leases on one VM: claims, releases, renewals, hand-over and the evidence
-- that a run has ended. Entries read the log with a delay, pause at any point,
-- and crash.
--
-- The property to preserve: once the end of the run has been recorded in the
-- log, no worker runs it and it never starts again, because its successor may
-- start from then on.
--
-- A renewer is an entry that may still send messages to the worker of the VM.
--
-- BROKEN selects a variant that violates a property; 0 is the protocol:
--   1  the expiry of a lease is recorded while another entry may renew it
--   2  a release is applied although its writer has claimed the VM since
--   3  the time to the expiry is counted while a message may still be in
--      transit
--   4  the wait for the expiry is shorter than the lease plus the drift of
--      clocks
--   5  a worker that has reported that it stopped a run starts it again later
--   6  an expiry is applied although the renewers have changed since its writer
--      read them, if they are the same again
--   7  only a report of the worker ends a run; no invariant fails, but the job
--      can't finish if the worker is unreachable
--   8  a standby renews after it has released the VM
--   9  a standby is not one of the renewers that must have released the VM
--      before an expiry is recorded

const
  BROKEN: 0;
  ENTRIES: 2;
  FIRST_OWNER: 1;  -- Owner at the start; 0: none.
  FIRST_STANDBY: 0;  -- Standby at the start; 0: none.
  LEASE: 1;  -- Ticks for which a worker keeps a run without a renewal.
  DRIFT: 1;  -- Ticks by which clocks may drift apart during a lease.
  QUEUE: 2;  -- Maximum number of records of an entry in transit to the log.
  CHANGES: 4;  -- Upper bound of renewers_version.

type
  Entry: 1 .. ENTRIES;
  Owner: 0 .. ENTRIES;  -- 0: none.
  RecordKind: enum {
    NO_RECORD, CLAIM, STAND_BY, RELEASE, END_EXPIRED, END_STOPPED };
  QueueIndex: 1 .. QUEUE;
  LogRecord: record
    kind: RecordKind;
    expected: Owner;  -- The owner or standby that the record replaces.
    renewers_version: 0 .. CHANGES;  -- As read by the writer.
  end;
  View: record
    owner: Owner;
    standby: Owner;  -- Renews leases while the owner is unreachable.
    renewers: array [Entry] of boolean;
    -- Incremented by each claim and each change of the renewers.
    renewers_version: 0 .. CHANGES;
    ended: boolean;
  end;
  RunStatus: enum { NOT_STARTED, RUNNING, STOPPED };
  Command: enum { NO_COMMAND, COMMAND_RUN, COMMAND_STOP, COMMAND_RENEW };
  Ticks: 0 .. LEASE + DRIFT;

var
  log: View;
  view: array [Entry] of View;
  queue: array [Entry] of array [QueueIndex] of LogRecord;
  up: array [Entry] of boolean;
  message: array [Entry] of Command;
  delivered: array [Entry] of boolean;
  -- The entry has released the VM since its view last changed.
  released: array [Entry] of boolean;
  -- The worker has reported to the entry that the run has stopped.
  reported_stopped: array [Entry] of boolean;
  suspended: array [Entry] of boolean;  -- The entry sends no renewals.
  -- Ticks for which renewals have been suspended and no message in transit.
  suspended_ticks: array [Entry] of Ticks;
  -- Ticks for which the view has shown no other renewer.
  sole_renewer_ticks: array [Entry] of Ticks;
  run: RunStatus;
  remaining_lease: 0 .. LEASE;
  -- Ticks by which the worker's clock may still lag.
  remaining_drift: 0 .. DRIFT;
  worker_reachable: boolean;

function IsSoleRenewer(v: View; e: Entry): boolean;
begin
  for other: Entry do
    if other != e & v.renewers[other] then return false; end;
  end;
  return v.renewers[e];
end;

function HasQueuedRecord(e: Entry): boolean;
begin
  return queue[e][1].kind != NO_RECORD;
end;

function IsQueueFull(e: Entry): boolean;
begin
  return queue[e][QUEUE].kind != NO_RECORD;
end;

procedure Enqueue(e: Entry; k: RecordKind; expected: Owner);
var
  r: LogRecord;
begin
  r.kind := k;
  r.expected := expected;
  r.renewers_version :=
    k = END_EXPIRED | k = RELEASE ? view[e].renewers_version : 0;
  if queue[e][1].kind = NO_RECORD then
    queue[e][1] := r;
  else
    queue[e][2] := r;
  end;
end;

function RequiredTicks(): Ticks;
begin
  return BROKEN = 4 ? LEASE - 1 : LEASE + DRIFT;
end;

startstate
begin
  log.owner := FIRST_OWNER;
  log.standby := FIRST_STANDBY;
  log.ended := false;
  log.renewers_version := 0;
  for e: Entry do
    log.renewers[e] := e = FIRST_OWNER | (e = FIRST_STANDBY & BROKEN != 9);
  end;
  for e: Entry do
    view[e] := log;
    for s: QueueIndex do
      queue[e][s].kind := NO_RECORD;
      queue[e][s].expected := 0;
      queue[e][s].renewers_version := 0;
    end;
    up[e] := true;
    message[e] := NO_COMMAND;
    delivered[e] := false;
    released[e] := false;
    reported_stopped[e] := false;
    suspended[e] := false;
    suspended_ticks[e] := 0;
    sole_renewer_ticks[e] := 0;
  end;
  run := NOT_STARTED;
  remaining_lease := 0;
  remaining_drift := DRIFT;
  worker_reachable := true;
end;

ruleset e: Entry do

  rule "an entry claims the VM"
    up[e] & view[e].owner != e & !view[e].ended & !IsQueueFull(e) &
    queue[e][1].kind != CLAIM
  ==>
  begin
    Enqueue(e, CLAIM, view[e].owner);
  end;

  rule "an entry becomes standby"
    up[e] & view[e].owner != e & view[e].owner != 0 & view[e].standby != e &
    !view[e].renewers[e] & !view[e].ended & !IsQueueFull(e) &
    queue[e][1].kind != STAND_BY
  ==>
  begin
    Enqueue(e, STAND_BY, view[e].standby);
  end;

  rule "the standby sends a renewal"
    up[e] & view[e].standby = e & view[e].owner != e & !view[e].ended &
    message[e] = NO_COMMAND & (!released[e] | BROKEN = 8)
  ==>
  begin
    message[e] := COMMAND_RENEW;
    delivered[e] := false;
  end;

  rule "a renewer that is not the owner releases the VM"
    up[e] & view[e].renewers[e] & view[e].owner != e &
    message[e] = NO_COMMAND & !IsQueueFull(e) & queue[e][1].kind != RELEASE
  ==>
  begin
    Enqueue(e, RELEASE, 0);
    released[e] := true;
  end;

  rule "a record is appended to the log and applied"
    HasQueuedRecord(e) &
    (log.renewers_version < CHANGES | queue[e][1].kind = END_EXPIRED |
     queue[e][1].kind = END_STOPPED)
  ==>
  var r: LogRecord;
  begin
    r := queue[e][1];
    queue[e][1] := queue[e][2];
    queue[e][2].kind := NO_RECORD;
    queue[e][2].expected := 0;
    queue[e][2].renewers_version := 0;
    switch r.kind
      case CLAIM:
        if log.owner = r.expected then
          log.owner := e;
          log.renewers[e] := true;
          log.renewers_version := log.renewers_version + 1;
          if log.standby = e then log.standby := 0; end;
        end;
      case STAND_BY:
        if log.standby = r.expected & log.owner != e & !log.renewers[e] then
          log.standby := e;
          log.renewers[e] := BROKEN != 9;
          log.renewers_version := log.renewers_version + 1;
        end;
      case RELEASE:
        if log.renewers_version = r.renewers_version | BROKEN = 2 then
          if log.renewers[e] then
            log.renewers_version := log.renewers_version + 1;
          end;
          log.renewers[e] := false;
          if log.owner = e then log.owner := 0; end;
          if log.standby = e then log.standby := 0; end;
        end;
      case END_EXPIRED:
        if log.owner = e & (IsSoleRenewer(log, e) | BROKEN = 1) &
           (log.renewers_version = r.renewers_version | BROKEN = 6 |
            BROKEN = 1) then
          log.ended := true;
        end;
      case END_STOPPED:
        if log.owner = e then log.ended := true; end;
    end;
  end;

  rule "an entry reads the log"
    up[e] & (view[e].owner != log.owner | view[e].ended != log.ended |
             view[e].renewers_version != log.renewers_version)
  ==>
  begin
    -- A renewer in between restarts the wait, even if it is no longer one.
    if view[e].renewers_version != log.renewers_version then
      sole_renewer_ticks[e] := 0;
    end;
    if view[e].renewers_version != log.renewers_version then
      released[e] := false;
    end;
    view[e] := log;
    if !IsSoleRenewer(view[e], e) then sole_renewer_ticks[e] := 0; end;
    if view[e].owner != e then suspended[e] := false; end;
  end;

  rule "the owner sends a command to run"
    up[e] & view[e].owner = e & view[e].renewers[e] & !view[e].ended &
    message[e] = NO_COMMAND & !suspended[e]
  ==>
  begin
    message[e] := COMMAND_RUN;
    delivered[e] := false;
  end;

  rule "the owner sends a command to stop"
    up[e] & view[e].owner = e & view[e].renewers[e] & !view[e].ended &
    message[e] = NO_COMMAND & !suspended[e]
  ==>
  begin
    message[e] := COMMAND_STOP;
    delivered[e] := false;
  end;

  rule "the message reaches the worker"
    message[e] != NO_COMMAND & !delivered[e] & worker_reachable
  ==>
  begin
    delivered[e] := true;
    if message[e] = COMMAND_STOP then
      run := STOPPED;
      remaining_lease := 0;
    elsif message[e] = COMMAND_RENEW then
      -- The command includes no job, so it starts no run.
      if run = RUNNING then
        remaining_lease := LEASE;
        remaining_drift := DRIFT;
      end;
    else
      if run = NOT_STARTED | run = RUNNING | (run = STOPPED & BROKEN = 5) then
        run := RUNNING;
        remaining_lease := LEASE;
        remaining_drift := DRIFT;
      end;
    end;
    if run = STOPPED & up[e] then reported_stopped[e] := true; end;
  end;

  rule "the message completes"
    message[e] != NO_COMMAND
  ==>
  begin
    message[e] := NO_COMMAND;
    delivered[e] := false;
    suspended_ticks[e] := 0;
  end;

  rule "the owner suspends renewals, so that the lease expires"
    up[e] & view[e].owner = e & !suspended[e]
  ==>
  begin
    suspended[e] := true;
    suspended_ticks[e] := 0;
  end;

  rule "the owner records the expiry of the lease"
    up[e] & suspended[e] & view[e].owner = e & !view[e].ended &
    (message[e] = NO_COMMAND | BROKEN = 3) & BROKEN != 7 &
    (IsSoleRenewer(view[e], e) | BROKEN = 1) &
    suspended_ticks[e] >= RequiredTicks() &
    (sole_renewer_ticks[e] >= RequiredTicks() | BROKEN = 1) &
    !IsQueueFull(e) & queue[e][1].kind != END_EXPIRED
  ==>
  begin
    Enqueue(e, END_EXPIRED, 0);
  end;

  rule "the owner records that the worker stopped the run"
    up[e] & reported_stopped[e] & view[e].owner = e & !view[e].ended &
    !IsQueueFull(e) & queue[e][1].kind != END_STOPPED
  ==>
  begin
    Enqueue(e, END_STOPPED, 0);
  end;

  -- The last entry does not crash, so that one is left to record the end of the
  -- run.
  rule "an entry crashes"
    up[e] & exists o: Entry do o != e & up[o] end
  ==>
  begin
    up[e] := false;
  end;

  rule "the end of a crashed entry is recorded"
    !up[e] & message[e] = NO_COMMAND & !HasQueuedRecord(e) & log.renewers[e] &
    log.renewers_version < CHANGES
  ==>
  begin
    log.renewers[e] := false;
    if log.owner = e then log.owner := 0; end;
    if log.standby = e then log.standby := 0; end;
    log.renewers_version := log.renewers_version + 1;
  end;

end;

rule "the worker becomes unreachable"
  worker_reachable
==>
begin
  worker_reachable := false;
end;

procedure TickEntries();
begin
  for e: Entry do
    if up[e] then
      if suspended[e] & suspended_ticks[e] < LEASE + DRIFT &
         (message[e] = NO_COMMAND | BROKEN = 3) then
        suspended_ticks[e] := suspended_ticks[e] + 1;
      end;
      if IsSoleRenewer(view[e], e) & sole_renewer_ticks[e] < LEASE + DRIFT then
        sole_renewer_ticks[e] := sole_renewer_ticks[e] + 1;
      end;
    end;
  end;
end;

rule "time passes"
  true
==>
begin
  TickEntries();
  if run = RUNNING then
    if remaining_lease > 0 then remaining_lease := remaining_lease - 1; end;
    if remaining_lease = 0 then run := STOPPED; end;
  end;
end;

rule "time passes while the worker's clock lags"
  run = RUNNING & remaining_drift > 0
==>
begin
  TickEntries();
  remaining_drift := remaining_drift - 1;
end;

invariant "an ended run does not run"
  log.ended -> run != RUNNING;

