/** Estimates of how long model engines take, learned from the responses that one instance receives. */
package org.cranberrybend.core.engine;
