/** Simulators of the platform, a model engine and a plain service, for tests and the local fleet. */
package org.cranberrybend.standins;
