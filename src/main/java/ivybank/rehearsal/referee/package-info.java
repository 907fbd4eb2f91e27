/** Checks what was seen in a scenario against the rules of service; no input or output. */
package ivybank.rehearsal.referee;
