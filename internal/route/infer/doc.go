// Package infer is the client of model engines: it starts, resumes and cancels streamed completions over net/http.
package infer
