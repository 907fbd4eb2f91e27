/** What a scale run measures, and the strict reader of its file. */
package ivybank.scale.plan;
