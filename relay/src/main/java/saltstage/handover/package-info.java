/**
 * State that the old and the new process of one relay share during a handover. They coordinate only
 * through files in a common directory and never exchange messages.
 */
package saltstage.handover;
