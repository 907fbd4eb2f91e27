/**
 * What a sidecar adds to the time of a call, measured from outside: an open-loop generator sends the same requests past
 * the sidecar and through it, in the same seconds. Schedules, statistics and the rule that voids a run are pure; {@link
 * ivybank.rehearsal.latency.LoadGenerator} and {@link ivybank.rehearsal.latency.EchoNodes} hold the sockets.
 */
package ivybank.rehearsal.latency;
