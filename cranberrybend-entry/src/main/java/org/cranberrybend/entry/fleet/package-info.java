/**
 * Exchange between instances: store changes and load reports within a zone, and the whole state with any instance to
 * which the store is unavailable.
 */
package org.cranberrybend.entry.fleet;
