// Package poison finds prompt parts that crash the upstreams which begin to answer them, and tells which requests to reject because of
// them.
//
// A part is suspected of a crash if a request with it was interrupted by the crash before its answer got going. Any answer that gets
// going clears the parts of its prompt of all earlier crashes, because a poisoned part never gets that far. So the parts that sound
// prompts share are cleared all the time, and a part that was suspected of several crashes in a row and never cleared is put into
// quarantine. Routers exchange suspicions and clearances, because each of them may see only one of the crashes.
package poison
