-- The recall of a delegated task whose job was cancelled, while the host cell's
-- owner is cut off from other entries, or reads their requests late. Both owners
-- reach the store, or have lost their cells. Time passes in steps of half a second,
-- in each of which each owner acts once. Safety: delegation.m.
--
-- BROKEN selects a variant that violates a property; 0 is the protocol:
--   1  recalls are requests to the host's owner only
--   2  a host counts requests as heard that were sent while it answered none
--   3  a successor in the home cell does not publish recalls of earlier owners
--   4  a host ends what its home cell does not confirm

const
  BROKEN: 0;
  RESTARTS: 1;
  MIN_SILENCE: 2;   -- Of a host, before its recalls are published.
  RENEWAL: 2;       -- Interval of the home owner's renewals.
  MAX_SILENCE: 3;   -- Of a home cell, before its recalls are read.
  CONTACT: 8;       -- The bound holds this long after a change.
  LATE_REQUESTS: 1; -- 0: requests between entries arrive at once or never.
  BOUND: 8;         -- The users' pages ask for 3 to 4 s.

type
  Path: enum { OPEN, CUT, LATE };

var
  path: Path;
  cancelled: boolean;     -- In the home cell's journal.
  published: boolean;     -- In the store.
  knows_cancel: boolean;  -- The home owner itself has ended the job.
  hosted: boolean;
  runs: boolean;
  unserved: 0 .. MIN_SILENCE;   -- How long the host has served nothing.
  since_renewal: 0 .. RENEWAL;
  unheard: 0 .. MAX_SILENCE;    -- How long the host has heard nothing.
  late_wanted: boolean;  -- A request that may arrive, sent to a host that served.
  late_doubted: boolean; -- One that was sent to a silent host.
  home_acted: boolean;
  host_acted: boolean;
  calm: 0 .. CONTACT;  -- Since the path or an owner has changed.
  age: 0 .. BOUND;     -- Since the cancel, as far as that is calm.
  restarts: 0 .. RESTARTS;

startstate
begin
  path := OPEN;
  cancelled := false;
  published := false;
  knows_cancel := false;
  hosted := true;
  runs := true;
  unserved := 0;
  since_renewal := 0;
  unheard := 0;
  late_wanted := false;
  late_doubted := false;
  home_acted := false;
  host_acted := false;
  calm := 0;
  age := 0;
  restarts := 0;
end;

procedure Change();
begin
  calm := 0;
  age := 0;
end;

ruleset next: Path do
  rule "the path between the owners changes"
    path != next & (next != LATE | LATE_REQUESTS = 1)
  ==>
  begin
    path := next;
    Change();
  end;
end;

rule "the job is cancelled"
  !cancelled
==>
begin
  cancelled := true;
  knows_cancel := true;
  age := 0;
end;

rule "the home owner acts"
  !home_acted
==>
begin
  home_acted := true;
  if path = OPEN then
    unserved := 0;
    unheard := 0;
    if cancelled then hosted := false; end;
  else
    if path = LATE & !cancelled then
      if unserved < MIN_SILENCE then
        late_wanted := true;
      else
        late_doubted := true;
      end;
    end;
    if unserved < MIN_SILENCE then unserved := unserved + 1; end;
  end;
  if since_renewal = RENEWAL then
    since_renewal := 0;
    published := published |
                 (BROKEN != 1 & cancelled & unserved = MIN_SILENCE &
                  (knows_cancel | BROKEN != 3));
  else
    since_renewal := since_renewal + 1;
  end;
end;

rule "a late request arrives at the host"
  late_wanted
==>
begin
  late_wanted := false;
  unheard := 0;
end;

rule "a late request arrives that was sent to a silent host"
  late_doubted
==>
begin
  if BROKEN = 2 then
    unheard := 0;
  else
    late_doubted := false;
  end;
end;

rule "the host's owner acts"
  !host_acted
==>
begin
  host_acted := true;
  if unheard = MAX_SILENCE then
    if published | BROKEN = 4 then hosted := false; end;
  else
    unheard := unheard + 1;
  end;
  runs := runs & hosted;
end;

rule "time passes"
  home_acted & host_acted
==>
begin
  home_acted := false;
  host_acted := false;
  if calm < CONTACT then
    calm := calm + 1;
  elsif cancelled & age < BOUND then
    age := age + 1;
  end;
end;

rule "the owner of the home cell is replaced"
  restarts < RESTARTS
==>
begin
  knows_cancel := false;
  unserved := 0;
  since_renewal := 0;
  Change();
  restarts := restarts + 1;
end;

rule "the owner of the host cell is replaced"
  restarts < RESTARTS
==>
begin
  unheard := MAX_SILENCE;
  Change();
  restarts := restarts + 1;
end;

invariant "a cancelled task ends in time"
  age = BOUND -> !runs;

invariant "a task that is not cancelled runs on"
  !cancelled -> runs;
