/** What a process of a scale run does: a stand-in discovery server, or hollow sidecars of the real control classes. */
package ivybank.scale.worker;
