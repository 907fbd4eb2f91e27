/** Whole fleets on one simulated clock, with the real decision module; no input or output. */
package ivybank.emulator;
