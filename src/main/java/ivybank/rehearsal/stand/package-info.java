/** Stand-ins for nodes, clients and discovery round real sidecar processes. */
package ivybank.rehearsal.stand;
