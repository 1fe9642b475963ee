/**
 * What the processes of one relay know of each other while one replaces the other, and what both
 * must keep to: files in a folder that they share. Nothing is said from process to process.
 */
package saltstage.handover;
