/** What the relay counts, readable at any time without waiting for anybody. */
package saltstage.metrics;
