/** Simulation that compares the router's policies, with their production code, with baselines. */
package org.cranberrybend.experiment;
