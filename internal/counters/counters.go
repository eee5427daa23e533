// Package counters counts what the proxy takes in, sends and answers.
package counters

import (
	"fmt"
	"io"
)

// Counter is one figure. Only the loop's goroutine touches it.
type Counter int64

// Counters are all figures of a proxy, in the order in which they are printed.
type Counters struct {
	Accepted, Pings, TakenIn, Standing, MidFlow                                                Counter
	Attempts, Up                                                                               Counter
	OutcomeOK, OutcomeError, OutcomeFull, OutcomeTimeout                                       Counter
	OutcomeNoConnect, OutcomeReset, OutcomeCancelled, OutcomeMoot                              Counter
	Served, Deferred, Failed, ClientGone                                                       Counter
	Moves, MovesSilent, MovesStop, Ended                                                       Counter
	BytesToNextHops, BytesToClients                                                            Counter
	BadLines, Overlong, NoFirstLine, NoRoom, AcceptErrors, DialErrors, SlowPeers               Counter
	Lists, ListChanges, ListFailures, ListBroken, DelayNotes, LoadNotes, Reloads, ReloadErrors Counter
	UnknownClass, SameID, Overtalked, Evicted, AbsurdLoads                                     Counter
	OpenNow                                                                                    Counter
}

// Print writes one line of name=value pairs.
func (c *Counters) Print(w io.Writer) {
	for _, f := range []struct {
		name string
		v    Counter
	}{
		{"accepted", c.Accepted}, {"pings", c.Pings}, {"taken_in", c.TakenIn}, {"standing", c.Standing},
		{"mid_flow", c.MidFlow}, {"attempts", c.Attempts}, {"up", c.Up},
		{"outcome_ok", c.OutcomeOK}, {"outcome_error", c.OutcomeError}, {"outcome_full", c.OutcomeFull},
		{"outcome_timeout", c.OutcomeTimeout}, {"outcome_no_connect", c.OutcomeNoConnect},
		{"outcome_reset", c.OutcomeReset}, {"outcome_cancelled", c.OutcomeCancelled},
		{"outcome_moot", c.OutcomeMoot},
		{"served", c.Served}, {"deferred", c.Deferred}, {"failed", c.Failed}, {"client_gone", c.ClientGone},
		{"moves", c.Moves}, {"moves_silent", c.MovesSilent}, {"moves_stop", c.MovesStop}, {"ended", c.Ended},
		{"bytes_to_next_hops", c.BytesToNextHops}, {"bytes_to_clients", c.BytesToClients},
		{"bad_lines", c.BadLines}, {"overlong", c.Overlong}, {"no_first_line", c.NoFirstLine},
		{"unknown_class", c.UnknownClass}, {"same_id", c.SameID}, {"overtalked", c.Overtalked},
		{"evicted", c.Evicted}, {"no_room", c.NoRoom}, {"accept_errors", c.AcceptErrors}, {"dial_errors", c.DialErrors},
		{"slow_peers", c.SlowPeers}, {"lists", c.Lists}, {"list_changes", c.ListChanges},
		{"list_failures", c.ListFailures}, {"list_broken", c.ListBroken}, {"delay_notes", c.DelayNotes},
		{"load_notes", c.LoadNotes}, {"absurd_loads", c.AbsurdLoads}, {"reloads", c.Reloads}, {"reload_errors", c.ReloadErrors},
		{"open", c.OpenNow},
	} {
		fmt.Fprintf(w, "%s=%d ", f.name, f.v)
	}
	fmt.Fprintln(w)
}
