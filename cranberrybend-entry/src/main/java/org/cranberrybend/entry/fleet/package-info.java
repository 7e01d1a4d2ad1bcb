/**
 * What instances tell each other: changes of the store and loads of upstreams within a zone, and more when the store turns
 * some of them away.
 */
package org.cranberrybend.entry.fleet;
