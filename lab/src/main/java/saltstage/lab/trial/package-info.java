/** Trials of real processes under injected faults, evaluated only by independent observers. */
package saltstage.lab.trial;
