/** The processes of a scale run, and how busy the processors are: they end with the run. */
package ivybank.scale.process;
