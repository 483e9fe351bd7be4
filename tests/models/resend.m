-- Resends of requests that are not idempotent. The first send may arrive late,
-- at any entry; resends go to any entry, which queries all others. Entries
-- crash and restart without their stored requests. The time since the first
-- send is not modelled: an entry that has restarted since answers "unknown".
--
-- BROKEN selects a variant that violates a property; 0 is the protocol:
--   1  an entry that has restarted answers that it never saw the request
--   2  a query does not block a late first send
--   3  a resend runs although one entry gave no answer
--   4  a send that was refused as not run is run after all
--   5  an entry that has just restarted runs a first send

const
  BROKEN: 0;
  ENTRIES: 3;
  SENDINGS: 3;  -- The first send and the resends.
  RESTARTS: 2;

type
  Entry: 1 .. ENTRIES;
  Send: 1 .. SENDINGS;
  Status: enum { NONE, QUERYING, RAN, NOT_RUN, BLOCKED };
  Answer: enum { PENDING, NEVER_SEEN, SEEN, UNKNOWN };
  Phase: enum {
    UNSENT, ARRIVED, DECIDING, RUNNING, REPORTED_NOT_RUN, REPORTED_OTHER };

var
  status: array [Entry] of Status;
  -- The entry has been up since before the first send.
  covers_first_send: array [Entry] of boolean;
  phase: array [Send] of Phase;
  receiver: array [Send] of Entry;
  answers: array [Send] of array [Entry] of Answer;
  runs: 0 .. SENDINGS;
  reported_not_run_but_ran: boolean;
  restarts: 0 .. RESTARTS;

startstate
begin
  for e: Entry do
    status[e] := NONE;
    covers_first_send[e] := true;
  end;
  for s: Send do
    phase[s] := UNSENT;
    receiver[s] := 1;
    for e: Entry do
      answers[s][e] := PENDING;
    end;
  end;
  runs := 0;
  reported_not_run_but_ran := false;
  restarts := 0;
end;

procedure Run(s: Send);
begin
  phase[s] := RUNNING;
  if runs < SENDINGS then runs := runs + 1; end;
end;

ruleset e: Entry do

  rule "the first send arrives"
    phase[1] = UNSENT
  ==>
  begin
    receiver[1] := e;
    -- An entry that started after the request was sent may have lost the record
    -- of a query about it, so it admits first sends only after a delay.
    if status[e] = NONE & (covers_first_send[e] | BROKEN = 5) then
      status[e] := RAN;
      Run(1);
    else
      phase[1] := REPORTED_OTHER;
    end;
  end;

  rule "an overloaded entry refuses the first send"
    phase[1] = UNSENT & status[e] = NONE
  ==>
  begin
    receiver[1] := e;
    status[e] := NOT_RUN;
    phase[1] := REPORTED_NOT_RUN;
    if BROKEN = 4 then
      Run(1);
      reported_not_run_but_ran := true;
    end;
  end;

  rule "an entry restarts without its stored requests"
    restarts < RESTARTS
  ==>
  begin
    restarts := restarts + 1;
    status[e] := NONE;
    covers_first_send[e] := false;
    for s: Send do
      if receiver[s] = e & phase[s] = DECIDING then
        phase[s] := REPORTED_OTHER;
      end;
    end;
  end;

  ruleset s: Send do

    rule "a resend arrives"
      s > 1 & phase[s] = UNSENT
    ==>
    begin
      receiver[s] := e;
      if status[e] = RAN | status[e] = QUERYING then
        phase[s] := REPORTED_OTHER;
      else
        if !covers_first_send[e] & BROKEN != 1 then
          phase[s] := REPORTED_OTHER;
        else
          status[e] := QUERYING;
          phase[s] := DECIDING;
          for o: Entry do
            answers[s][o] := PENDING;
          end;
          answers[s][e] := NEVER_SEEN;
        end;
      end;
    end;

    rule "another entry answers the query"
      phase[s] = DECIDING & receiver[s] != e & answers[s][e] = PENDING
    ==>
    begin
      switch status[e]
        case RAN, QUERYING:
          answers[s][e] := SEEN;
        else
          if BROKEN != 2 then status[e] := BLOCKED; end;
          if covers_first_send[e] | BROKEN = 1 then
            answers[s][e] := NEVER_SEEN;
          else
            answers[s][e] := UNKNOWN;
          end;
      end;
    end;

    rule "another entry does not answer the query"
      phase[s] = DECIDING & receiver[s] != e & answers[s][e] = PENDING
    ==>
    begin
      answers[s][e] := UNKNOWN;
    end;

  end;

end;

ruleset s: Send do

  rule "the entry decides on the resend"
    phase[s] = DECIDING & forall e: Entry do answers[s][e] != PENDING end
  ==>
  begin
    if forall e: Entry do
         answers[s][e] = NEVER_SEEN | (BROKEN = 3 & answers[s][e] = UNKNOWN) end
    then
      status[receiver[s]] := RAN;
      Run(s);
    else
      status[receiver[s]] := BLOCKED;
      phase[s] := REPORTED_OTHER;
    end;
  end;

end;

invariant "the request runs at most once"
  runs <= 1;

invariant "a request that was reported as not run did not run"
  !reported_not_run_but_ran;

cover "a resend runs" phase[2] = RUNNING;
