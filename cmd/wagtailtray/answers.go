package main

import (
	"fmt"
	"os"

	"github.com/wagtailtray/wagtailtray/internal/try"
	"github.com/wagtailtray/wagtailtray/pkg/answers"
)

type answersCommand struct {
	New   newAnswersCommand   `cmd:"" help:"Print an example questionnaire."`
	Check checkAnswersCommand `cmd:"" help:"Check a questionnaire and report every error."`
}

type newAnswersCommand struct {
	Deployment string `help:"Example to print: valuvorm or porto." default:"valuvorm" enum:"valuvorm,porto"`
	JSON       bool   `name:"json" help:"Print one JSON object."`
}

func (c *newAnswersCommand) Run() error {
	data, err := try.Answers(c.Deployment)
	if err != nil {
		return err
	}
	a, err := answers.Parse(data)
	if err != nil {
		return err
	}
	return printResult(c.JSON, a, func() { fmt.Print(string(data)) })
}

type checkAnswersCommand struct {
	File string `arg:"" help:"Answers file."`
	JSON bool   `name:"json" help:"Print one JSON object."`
}

func (c *checkAnswersCommand) Run() error {
	a, err := readAnswers(c.File)
	if err != nil {
		return err
	}
	return printResult(c.JSON, a, func() {
		fmt.Printf("%s: good: %d failure domains, %d services\n", a.Deployment, len(a.Domains), len(a.Services))
	})
}

func readAnswers(file string) (*answers.Answers, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	a, err := answers.Parse(data)
	if err != nil {
		return nil, fmt.Errorf("%s:\n%w", file, err)
	}
	return a, nil
}
