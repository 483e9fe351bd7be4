-- Delegation of one task that lasts from its home cell to a host cell. Both
-- cells' journals are durable; their owners are replaced at any time and then
-- know what is in the journals. Messages are copied, delayed and reordered. A
-- run that was started is ended by its own cell only.
--
-- BROKEN selects a variant that violates a property; 0 is the protocol:
--   1  the home cell sends a delegation before its journal holds it
--   2  the host says that it has returned the task before its run has ended
--   3  the host says so before its journal holds it
--   4  the host accepts a delegation that it has returned
--   5  the home cell heeds a report about an earlier delegation

const
  BROKEN: 0;
  DELEGATIONS: 2;
  RESTARTS: 2;

type
  Number: 0 .. DELEGATIONS;
  HostState: enum { NOT_HOSTED, HOSTED, RETURNED };
  -- One state of a cell, in memory and in its journal.
  HomeRecord: record delegated: boolean; number: Number; end;
  HostRecord: record state: HostState; number: Number; end;

var
  home: HomeRecord;
  home_journal: HomeRecord;
  host: HostRecord;
  host_journal: HostRecord;
  home_runs: boolean;
  host_runs: boolean;
  recalled: boolean;
  -- Messages that were ever sent, and may arrive again.
  wanted_sent: array [Number] of boolean;
  recall_sent: array [Number] of boolean;
  returned_sent: array [Number] of boolean;
  restarts: 0 .. RESTARTS;

startstate
begin
  home.delegated := false;
  home.number := 0;
  home_journal := home;
  host.state := NOT_HOSTED;
  host.number := 0;
  host_journal := host;
  home_runs := false;
  host_runs := false;
  recalled := false;
  for n: Number do
    wanted_sent[n] := false;
    recall_sent[n] := false;
    returned_sent[n] := false;
  end;
  restarts := 0;
end;

function SameHome(): boolean;
begin
  return home.delegated = home_journal.delegated &
         home.number = home_journal.number;
end;

function SameHost(): boolean;
begin
  return host.state = host_journal.state & host.number = host_journal.number;
end;

rule "the home cell starts the task"
  !home.delegated & !home_runs & SameHome()
==>
begin
  home_runs := true;
end;

rule "a run at home ends"
  home_runs
==>
begin
  home_runs := false;
end;

rule "the home cell delegates the task, which has no run"
  !home.delegated & !home_runs & SameHome() & home.number < DELEGATIONS
==>
begin
  home.delegated := true;
  home.number := home.number + 1;
  recalled := false;
end;

rule "the home cell's journal is written"
  !SameHome()
==>
begin
  home_journal := home;
end;

rule "the home cell sends what it wants"
  home.delegated & (SameHome() | BROKEN = 1)
==>
begin
  if recalled then
    recall_sent[home.number] := true;
  else
    wanted_sent[home.number] := true;
  end;
end;

rule "the home cell recalls the task"
  home.delegated & !recalled
==>
begin
  recalled := true;
end;

rule "the owner of the home cell is replaced"
  restarts < RESTARTS
==>
begin
  -- Its successor waits until all runs of its VMs are known, and keeps them.
  home := home_journal;
  recalled := false;
  restarts := restarts + 1;
end;

ruleset n: Number do

  rule "a delegation arrives at the host"
    wanted_sent[n] &
    (n > host.number |
     (BROKEN = 4 & n = host.number & host.state = RETURNED))
  ==>
  begin
    host.state := HOSTED;
    host.number := n;
  end;

  rule "a recall arrives at the host"
    recall_sent[n] &
    (n > host.number | (n = host.number & host.state = HOSTED))
  ==>
  begin
    host.state := RETURNED;
    host.number := n;
  end;

  rule "the host reports that it has returned the task"
    host.state = RETURNED & host.number = n &
    (!host_runs | BROKEN = 2) & (SameHost() | BROKEN = 3)
  ==>
  begin
    returned_sent[n] := true;
  end;

  rule "the report arrives at the home cell"
    returned_sent[n] & home.delegated & SameHome() &
    (n = home.number | BROKEN = 5)
  ==>
  begin
    home.delegated := false;
    recalled := false;
  end;

end;

rule "the host starts the task"
  host.state = HOSTED & !host_runs & SameHost()
==>
begin
  host_runs := true;
end;

rule "a run at the host ends"
  host_runs
==>
begin
  host_runs := false;
end;

rule "the host's journal is written"
  !SameHost()
==>
begin
  host_journal := host;
end;

rule "the owner of the host cell is replaced"
  restarts < RESTARTS
==>
begin
  host := host_journal;
  restarts := restarts + 1;
end;

invariant "the task does not run in two cells"
  !(home_runs & host_runs);
