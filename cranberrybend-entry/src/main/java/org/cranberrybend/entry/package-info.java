/** The program of an entry instance: serves callers, and does the fleet's duties when it holds them. */
package org.cranberrybend.entry;
