/**
 * Scale runs: what each role of an installation costs as its quantities grow, measured from outside
 * the measured processes, and the capacity page that is computed from the results.
 */
package saltstage.lab.scale;
