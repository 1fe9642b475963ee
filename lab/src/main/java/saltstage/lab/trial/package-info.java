/** Trials: real processes with faults between them, judged only by what a witness outside saw. */
package saltstage.lab.trial;
