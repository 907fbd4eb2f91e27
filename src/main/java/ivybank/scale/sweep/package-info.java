/** The sweeps of a scale run: each grows a list, a fleet or a view and measures it at every size. */
package ivybank.scale.sweep;
