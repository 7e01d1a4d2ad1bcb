/** Simulator of a plain service, such as one that takes print orders of ticket stubs. */
package org.cranberrybend.standins.service;
