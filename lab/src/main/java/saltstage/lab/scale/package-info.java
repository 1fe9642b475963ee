/**
 * Scale runs, which measure the cost of each role of an installation as its quantities grow, and
 * the capacity page that is computed from the results. All measurements are taken from outside the
 * measured processes.
 */
package saltstage.lab.scale;
