/** State that one process of a sidecar leaves for the next. */
package ivybank.handover;
