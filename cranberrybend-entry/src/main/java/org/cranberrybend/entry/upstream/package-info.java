/**
 * Upstreams: their entries in the store, their observed load and health, connection pools, and the selection of one.
 */
package org.cranberrybend.entry.upstream;
