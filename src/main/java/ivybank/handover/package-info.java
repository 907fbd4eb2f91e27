/** The state that one process of a sidecar hands over to the next. */
package ivybank.handover;
