/**
 * Randomized soak test: entry processes run against stand-ins for the upstreams and the platform while external faults
 * are injected. The promises are checked from outside, by what callers, upstreams and the platform observe.
 */
package org.cranberrybend.soak;
